use serde::{Deserialize, Serialize};

use crate::Reason;

/// Terminal state of a shift.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Every request goes to the new version.
    Done,
    /// Every request goes to the old version.
    TakenBack(Reason),
}
