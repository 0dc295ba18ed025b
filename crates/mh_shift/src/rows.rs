use serde::{Deserialize, Serialize};

use crate::{EndRow, StepRow};

/// Table rows of a shift, as read from the table or known to a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Current step.
    pub step: Option<StepRow>,
    /// Terminal state.
    pub end: Option<EndRow>,
}
