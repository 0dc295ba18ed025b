use serde::{Deserialize, Serialize};

/// Phase of the shift of a service to a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShiftPhase {
    /// A few VMs expose the new version to a small fraction of the requests.
    Exposing,
    /// New requests go to the new version; requests on the old version finish.
    Switching,
    /// The new version serves all requests, and the old servers stop.
    Done,
    /// The shift was rolled back; the new version gets no more requests.
    TakenBack,
}

impl ShiftPhase {
    /// Returns how far a shift in this phase is; phases of the same number exclude each other.
    pub(crate) fn progress(self) -> u8 {
        match self {
            Self::Exposing => 0,
            Self::Switching => 1,
            Self::Done | Self::TakenBack => 2,
        }
    }

    /// Returns whether no further phase follows.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}
