use serde::{Deserialize, Serialize};

use crate::{Fraction, WriteId};

/// Table row with the current step; each change increments the number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow {
    /// Number of the step, from 1.
    pub number: u64,
    /// Share of requests that go to the new version.
    pub share: Fraction,
    /// Identity of the write that set the step.
    pub write: WriteId,
}
