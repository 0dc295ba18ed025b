use jiff::Timestamp;

use crate::{EndRow, StepRow, WriteId};

/// Conditional table write that the caller executes.
///
/// Either change is one transaction under the conditions that the terminal row is absent and that the step row has the
/// number `expect_step`, or is absent if that is 0. Creating `TakenBack` has the first condition only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Identity of the write.
    pub id: WriteId,
    /// Row to write.
    pub change: Change,
    /// Number that the step row must have; `None` for any.
    pub expect_step: Option<u64>,
    /// Wall-clock time after which the caller must drop the write instead of sending it, in case the VM was paused
    /// before it could send.
    pub not_after: Option<Timestamp>,
}

/// Row that a [`Write`] sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Replaces the step row.
    Step(StepRow),
    /// Creates the terminal row.
    End(EndRow),
}
