use serde::{Deserialize, Serialize};

/// Set of writes that the table applies atomically: all of them or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    writes: Vec<Write>,
    #[serde(default)]
    checks: Vec<Check>,
}

impl Commit {
    /// Creates a commit without writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a write.
    #[must_use]
    pub fn with(mut self, write: Write) -> Self {
        self.writes.push(write);
        self
    }

    /// Adds a precondition on a row that is not written.
    #[must_use]
    pub fn check(mut self, path: impl Into<String>, expect: Expect) -> Self {
        self.checks.push(Check {
            path: path.into(),
            expect,
        });
        self
    }

    /// Returns the preconditions on rows that are not written.
    pub fn checks(&self) -> &[Check] {
        &self.checks
    }

    /// Returns the writes.
    pub fn writes(&self) -> &[Write] {
        &self.writes
    }
}

/// Precondition on a row that the commit does not write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Path of the row.
    pub path: String,
    /// Precondition that the row must meet for the commit to take effect.
    pub expect: Expect,
}

/// Write to one row, with its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Path of the row.
    pub path: String,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
    /// Precondition that the row must meet for the commit to take effect.
    pub expect: Expect,
}

impl Write {
    /// Creates a write that sets a row.
    pub fn set(path: impl Into<String>, value: impl Into<String>, expect: Expect) -> Self {
        Self {
            path: path.into(),
            value: Some(value.into()),
            expect,
        }
    }

    /// Creates a write that deletes a row.
    pub fn remove(path: impl Into<String>, expect: Expect) -> Self {
        Self {
            path: path.into(),
            value: None,
            expect,
        }
    }
}

/// Precondition on a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this [`Row::version`](crate::Row::version).
    Version(u64),
}

/// Outcome of a commit for which a response was received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// Every write took effect.
    Done {
        /// Version of the rows written.
        version: u64,
    },
    /// No write took effect because the row at `path` did not meet its precondition.
    Conflict {
        /// Path of the row.
        path: String,
    },
}
