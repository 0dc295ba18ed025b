use std::time::Duration;

/// Limits of an [`OpTable`](crate::OpTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Maximum number of operations on record; further ones are refused as not run.
    pub max_entries: usize,
    /// Maximum total size of kept answers in bytes; above it, the answers whose ids expire first are evicted.
    ///
    /// It is divided equally among the 16 shards.
    pub max_answer_bytes: usize,
    /// Maximum size of a kept answer in bytes, as counted by [`Answer::memory_bytes`](crate::Answer::memory_bytes).
    pub max_one_answer_bytes: usize,
    /// Time from issue or claim of an id until it is refused as expired.
    pub lifetime: Duration,
}

impl Default for TableLimits {
    /// 131,072 operations, 32 MiB of answers, 256 KiB per answer, 15 minutes lifetime.
    fn default() -> Self {
        Self {
            max_entries: 131_072,
            max_answer_bytes: 32 << 20,
            max_one_answer_bytes: 256 << 10,
            lifetime: Duration::from_mins(15),
        }
    }
}
