use super::Batch;

/// Result of a read of the changes after a version.
#[derive(Clone, Debug)]
pub enum ChangesRead {
    /// The changes, possibly none.
    Changes(Batch),
    /// The changes since that version are unknown, because the store dropped them or was restored from a copy. The feed
    /// must be read in full.
    HistoryLost {
        /// The store's era.
        era: u64,
    },
}
