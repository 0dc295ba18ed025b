use serde::{Deserialize, Serialize};

use crate::TakeBackReason;

/// Terminal state of a shift.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TerminalState {
    /// Every request goes to the new version.
    Done,
    /// Every request goes to the old version.
    TakenBack(TakeBackReason),
}
