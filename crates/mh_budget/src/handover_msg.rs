use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What one VM tells another about the list from which it derives who owns which slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMsg {
    /// Digest of the list.
    pub digest: u64,
    /// Time for which the sender has used no slot by another list and no loan of the receiver; the longest possible time if
    /// nothing of that kind can still be in use.
    pub held: Duration,
    /// Whether the sender waits for the receiver's list.
    pub needs_answer: bool,
}
