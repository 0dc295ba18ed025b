use serde::{Deserialize, Serialize};

/// How far the shift of a service to a new version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShiftPhase {
    /// A few VMs expose the new version to a small share of the requests.
    Exposing,
    /// Every request goes to the new version; requests at the old one end.
    Switching,
    /// The new version serves, and the old servers stop.
    Done,
    /// The new version gets nothing more.
    TakenBack,
}

impl ShiftPhase {
    /// Whether nothing follows.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}
