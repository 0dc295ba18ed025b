use serde::{Deserialize, Serialize};

use crate::{TerminalState, WriteId};

/// Table row with the terminal state, created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRow {
    /// Terminal state.
    pub end: TerminalState,
    /// Identity of the write that created the row.
    pub write: WriteId,
}
