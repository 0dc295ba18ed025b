use serde::{Deserialize, Serialize};

/// Answer of a VM that was asked to decide on a request for another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the request may run; if so, its tokens were taken at the VM that answered.
    pub admitted: bool,
    /// Whole tokens left at the VM that answered.
    pub level: u64,
}
