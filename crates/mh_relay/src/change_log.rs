use std::collections::HashMap;
use std::hash::Hash;

use mh_types::StoreVersion;

/// Maximum number of keys in the log. A VM that missed more changes receives the complete state.
const MAX_KEYS: usize = 4096;

/// Log of the latest change of each key, with its version.
///
/// A later change of a key replaces the earlier one, so that a series of large values uses the memory of one.
#[derive(Debug)]
pub struct ChangeLog<K, U> {
    /// The log is complete for changes after this version.
    base_version: StoreVersion,
    latest: HashMap<K, Change<U>>,
    /// Sequence number of the next change, which orders changes of the same version.
    next_sequence: u64,
}

#[derive(Debug)]
struct Change<U> {
    version: StoreVersion,
    sequence: u64,
    update: U,
}

impl<K, U> Default for ChangeLog<K, U> {
    fn default() -> Self {
        Self {
            base_version: StoreVersion::ZERO,
            latest: HashMap::new(),
            next_sequence: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, U: Clone> ChangeLog<K, U> {
    /// Clears the log, for example after a read of the complete state at `version`.
    pub fn reset(&mut self, version: StoreVersion) {
        self.base_version = version;
        self.latest.clear();
    }

    /// Adds changes at `version`, which must be higher than the versions of all earlier changes.
    pub fn push(&mut self, version: StoreVersion, changes: impl IntoIterator<Item = (K, U)>) {
        for (key, update) in changes {
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            let change = Change {
                version,
                sequence,
                update,
            };
            self.latest.insert(key, change);
        }
        if self.latest.len() > MAX_KEYS {
            self.drop_oldest();
        }
    }

    /// Returns the latest change of each key that changed after `version`, in order. Returns `None` if some of them are
    /// no longer in the log.
    pub fn since(&self, version: StoreVersion) -> Option<Vec<U>> {
        if version < self.base_version {
            return None;
        }
        let mut newer: Vec<&Change<U>> = self.latest.values().filter(|change| change.version > version).collect();
        newer.sort_unstable_by_key(|change| change.sequence);
        Some(newer.into_iter().map(|change| change.update.clone()).collect())
    }

    /// Drops the older half of the changes, so that a full log is not sorted on every push.
    fn drop_oldest(&mut self) {
        let mut versions: Vec<StoreVersion> = self.latest.values().map(|change| change.version).collect();
        versions.sort_unstable();
        self.base_version = versions[versions.len() / 2];
        let base_version = self.base_version;
        self.latest.retain(|_, change| change.version > base_version);
    }
}
