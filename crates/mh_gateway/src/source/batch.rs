use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;

use mh_types::StoreVersion;

use super::Update;

/// Result of one read of the source.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Newest version that the read covers.
    pub version: StoreVersion,
    /// Version of the last change. A full read gives the version of the read, and a read of changes from the store
    /// gives the zero version if there are none.
    pub last_changed_version: StoreVersion,
    /// The store's monotonic clock at the time of the read.
    pub clock: Duration,
    /// Updates in the order in which they were written.
    pub updates: Vec<Update>,
}

impl Batch {
    /// Returns the names that `name` selects from the updates.
    pub(crate) fn named<'a, K: Eq + Hash>(&'a self, name: impl Fn(&'a Update) -> Option<&'a K>) -> HashSet<&'a K> {
        self.updates.iter().filter_map(name).collect()
    }
}
