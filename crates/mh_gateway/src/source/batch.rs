use std::time::Duration;

use super::Update;

/// Result of one read of the source.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Newest version that the read covers.
    pub version: u64,
    /// Version of the last change. A full read gives the version of the read, and a read of changes from the store
    /// gives 0 if there are none.
    pub last_changed_version: u64,
    /// The store's monotonic clock at the time of the read.
    pub clock: Duration,
    /// Updates in the order in which they were written.
    pub updates: Vec<Update>,
}
