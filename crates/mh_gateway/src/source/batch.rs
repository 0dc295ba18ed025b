use std::time::Duration;

use super::Update;

/// Result of one read of the source.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Newest version that the read covers.
    pub version: u64,
    /// Version of the newest entry of `updates`; 0 if there are none.
    pub changed: u64,
    /// The store's monotonic clock at the time of the read.
    pub clock: Duration,
    /// Updates in the order in which they were written.
    pub updates: Vec<Update>,
}
