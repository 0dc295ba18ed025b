use serde::{Deserialize, Serialize};

/// Row of the transactional table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Path of the row.
    pub path: String,
    /// Version, which increases with each write and is never reused for the same path.
    pub version: u64,
    /// Stored value.
    pub value: String,
}
