use std::collections::HashMap;
use std::hash::Hash;

/// Subjects whose last changes are kept at most; a VM that missed more gets everything.
const MAX_SUBJECTS: usize = 4096;

/// The last change of each subject, by version.
///
/// A later change of a subject replaces the earlier one, so that a series of large values takes the room of one.
#[derive(Debug)]
pub struct ChangeLog<K, U> {
    /// Changes after this version are kept.
    floor: u64,
    latest: HashMap<K, Change<U>>,
    /// Number of the next change, which keeps the order of those with one version.
    next: u64,
}

#[derive(Debug)]
struct Change<U> {
    version: u64,
    number: u64,
    update: U,
}

impl<K, U> Default for ChangeLog<K, U> {
    fn default() -> Self {
        Self {
            floor: 0,
            latest: HashMap::new(),
            next: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, U: Clone> ChangeLog<K, U> {
    /// Forgets all changes, as after a read of everything as of `version`.
    pub fn reset(&mut self, version: u64) {
        self.floor = version;
        self.latest.clear();
    }

    /// Adds the changes up to `version`, which is higher than that of all changes before them.
    pub fn push(&mut self, version: u64, changes: impl IntoIterator<Item = (K, U)>) {
        for (subject, update) in changes {
            let number = self.next;
            self.next += 1;
            let change = Change {
                version,
                number,
                update,
            };
            self.latest.insert(subject, change);
        }
        if self.latest.len() > MAX_SUBJECTS {
            self.drop_oldest();
        }
    }

    /// The last change of each subject that changed after `version`, in order; `None` when they are not all kept.
    pub fn since(&self, version: u64) -> Option<Vec<U>> {
        if version < self.floor {
            return None;
        }
        let mut later: Vec<&Change<U>> = self.latest.values().filter(|change| change.version > version).collect();
        later.sort_unstable_by_key(|change| change.number);
        Some(later.into_iter().map(|change| change.update.clone()).collect())
    }

    /// Drops the older half, so that a full log is not sorted at each change.
    fn drop_oldest(&mut self) {
        let mut versions: Vec<u64> = self.latest.values().map(|change| change.version).collect();
        versions.sort_unstable();
        self.floor = versions[versions.len() / 2];
        let floor = self.floor;
        self.latest.retain(|_, change| change.version > floor);
    }
}
