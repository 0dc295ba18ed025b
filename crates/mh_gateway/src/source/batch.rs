use std::time::Duration;

use super::Update;

/// What one read of the source told.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Newest version that the read covers.
    pub version: u64,
    /// Version of the newest of `updates`; 0 when there are none.
    pub changed: u64,
    /// The store's steady clock at the time of the read.
    pub clock: Duration,
    /// What is known now, in the order in which it came about.
    pub updates: Vec<Update>,
}
