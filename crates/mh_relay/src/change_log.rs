use std::collections::VecDeque;

/// Changes kept at most; a VM that missed more gets everything.
const MAX_CHANGES: usize = 4096;

/// The latest changes of one kind of data, by version.
#[derive(Debug)]
pub struct ChangeLog<U> {
    /// Changes after this version are kept.
    floor: u64,
    batches: VecDeque<(u64, Vec<U>)>,
    changes: usize,
}

impl<U> Default for ChangeLog<U> {
    fn default() -> Self {
        Self {
            floor: 0,
            batches: VecDeque::new(),
            changes: 0,
        }
    }
}

impl<U: Clone> ChangeLog<U> {
    /// Forgets all changes, as after a read of everything as of `version`.
    pub fn reset(&mut self, version: u64) {
        self.floor = version;
        self.batches.clear();
        self.changes = 0;
    }

    /// Adds the changes up to `version`, which is higher than that of all changes before them.
    pub fn push(&mut self, version: u64, changes: Vec<U>) {
        self.changes += changes.len();
        self.batches.push_back((version, changes));
        while self.changes > MAX_CHANGES {
            let Some((version, dropped)) = self.batches.pop_front() else {
                return;
            };
            self.floor = version;
            self.changes -= dropped.len();
        }
    }

    /// The changes after `version` in order, perhaps with some before it; `None` when they are no longer all kept.
    pub fn since(&self, version: u64) -> Option<Vec<U>> {
        let later = self.batches.iter().filter(|(at, _)| *at > version);
        (version >= self.floor).then(|| later.flat_map(|(_, changes)| changes.iter().cloned()).collect())
    }
}
