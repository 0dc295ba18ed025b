use serde::{Deserialize, Serialize};

/// State of a member as seen by the local VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Reachable.
    Alive,
    /// Not reached, directly or by at least one other VM; it may still refute the suspicion.
    Suspect,
    /// Not reachable from the local VM.
    Dead,
    /// Reachable, and about to stop.
    Leaving,
}
