use std::sync::Arc;

use crate::answer::Answer;

/// Outcome of the attempt that a [`Waiter`](crate::Waiter) waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The operation ran and gave this answer.
    Answer(Arc<Answer>),
    /// The operation may have run; there will be no answer.
    Unknown,
    /// The operation was not run and its id was released; begin again.
    Abandoned,
}
