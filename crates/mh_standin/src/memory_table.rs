use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

use mh_platform::{Commit, CommitOutcome, Expect, Row};

/// In-memory transactional table.
#[derive(Debug, Default)]
pub struct MemoryTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<String, Row>,
}

/// Copy of a table at one moment.
#[derive(Clone, Debug)]
pub struct TableCopy {
    version: u64,
    rows: BTreeMap<String, Row>,
}

impl MemoryTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies all writes of `commit` if all its conditions hold; otherwise none.
    pub fn commit(&self, commit: &Commit) -> CommitOutcome {
        let mut state = self.state();
        let writes = commit.writes().iter().map(|write| (&write.path, write.expect));
        let checks = commit.checks().iter().map(|check| (&check.path, check.expect));
        for (path, expect) in writes.chain(checks) {
            let version = state.rows.get(path).map(|row| row.version);
            let is_met = match expect {
                Expect::Any => true,
                Expect::Absent => version.is_none(),
                Expect::Version(expected) => version == Some(expected),
            };
            if !is_met {
                return CommitOutcome::Conflict { path: path.clone() };
            }
        }
        state.version += 1;
        let version = state.version;
        for write in commit.writes() {
            match &write.value {
                Some(value) => {
                    let row = Row {
                        path: write.path.clone(),
                        version,
                        value: value.clone(),
                    };
                    state.rows.insert(write.path.clone(), row);
                }
                None => {
                    state.rows.remove(&write.path);
                }
            }
        }
        CommitOutcome::Done { version }
    }

    /// Returns a copy of the table, for [`MemoryTable::restore`].
    pub fn copy(&self) -> TableCopy {
        let state = self.state();
        TableCopy {
            version: state.version,
            rows: state.rows.clone(),
        }
    }

    /// Restores the table from a copy. Versions that were given out since are given out again.
    pub fn restore(&self, copy: TableCopy) {
        let mut state = self.state();
        state.version = copy.version;
        state.rows = copy.rows;
    }

    /// Returns the row at `path`.
    pub fn read(&self, path: &str) -> Option<Row> {
        self.state().rows.get(path).cloned()
    }

    /// Returns at most `limit` rows whose paths start with `prefix` and sort after `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let state = self.state();
        let start = after.max(prefix).to_owned();
        state
            .rows
            .range::<String, _>((Bound::Included(start), Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.path.starts_with(prefix))
            .filter(|row| row.path.as_str() > after)
            .take(limit)
            .cloned()
            .collect()
    }
}
