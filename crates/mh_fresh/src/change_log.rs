use std::collections::VecDeque;

use mh_types::Revision;

/// Changes that a [`ChangeLog`] can serve to a peer at a given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesSince<'a, T> {
    /// Every change after the peer's revision, oldest first; empty when the peer holds the newest revision.
    Changes(Vec<(Revision, &'a T)>),
    /// The log no longer reaches back to the peer's revision; the peer needs the complete settings.
    TooOld,
}

/// Bounded in-memory log of the most recent changes, from which peers are served the changes since their revision.
///
/// ```
/// use mh_fresh::{ChangeLog, ChangesSince};
/// use mh_types::Revision;
///
/// let mut log = ChangeLog::new(2);
/// (1..=3).for_each(|n| log.push(Revision(n), n * 10));
/// assert_eq!(log.since(Revision(2)), ChangesSince::Changes(vec![(Revision(3), &30)]));
/// assert_eq!(log.since(Revision(0)), ChangesSince::TooOld);
/// ```
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    capacity: usize,
    /// Revision just before the first entry of `changes`, which has no gaps.
    base: Revision,
    changes: VecDeque<T>,
}

impl<T> ChangeLog<T> {
    /// Creates an empty log that keeps up to `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            base: Revision::ZERO,
            changes: VecDeque::new(),
        }
    }

    /// Newest revision in the log.
    pub fn newest(&self) -> Revision {
        Revision(self.base.0 + self.changes.len() as u64)
    }

    /// Number of changes kept.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether no change is kept.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Appends a change. Ignores a change that is already in the log; a gap in the revisions empties the log first.
    pub fn push(&mut self, revision: Revision, change: T) {
        if revision <= self.newest() {
            return;
        }
        if revision != self.newest().next() {
            self.reset(Revision(revision.0 - 1));
        }
        self.changes.push_back(change);
        while self.changes.len() > self.capacity {
            self.changes.pop_front();
            self.base = self.base.next();
        }
    }

    /// Empties the log after the complete settings of `revision` were loaded. Ignores an older revision.
    pub fn reset(&mut self, revision: Revision) {
        if revision > self.newest() {
            self.changes.clear();
            self.base = revision;
        }
    }

    /// The changes after `held`.
    pub fn since(&self, held: Revision) -> ChangesSince<'_, T> {
        if held < self.base {
            return ChangesSince::TooOld;
        }
        let skip = (held.0 - self.base.0) as usize;
        let numbered = (self.base.0 + 1..).map(Revision).zip(&self.changes);
        ChangesSince::Changes(numbered.skip(skip).collect())
    }
}
