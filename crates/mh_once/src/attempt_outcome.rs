use std::sync::Arc;

use crate::answer::Answer;

/// Outcome of an attempt, as recorded in the operation table.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// Answered; the answer is small enough to keep.
    Answered(Arc<Answer>),
    /// Answered; the answer is too large to keep.
    AnswerTooLarge,
    /// The request may have run, and there is no answer.
    Unknown,
    /// The request was not sent.
    Abandoned,
}
