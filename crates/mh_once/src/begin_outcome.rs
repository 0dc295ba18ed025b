use std::sync::Arc;

use mh_types::{Code, Run};

use crate::answer::Answer;
use crate::attempt::{Attempt, Ready};
use crate::waiter::Waiter;

/// Decision of the owner's operation table on a request.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The request is the only one that may run the operation.
    Begin(Attempt<Ready>),
    /// Another request is running the operation; wait for it.
    InProgress(Waiter),
    /// The operation ran and gave this answer.
    Done(Arc<Answer>),
    /// The operation ran, but its answer is not kept.
    AnswerGone,
    /// The operation may have run.
    Unresolved,
    /// The id's lifetime has ended; whether the operation ran is no longer known.
    Expired,
    /// The id was first used with a different request.
    Mismatch,
    /// The operation table is full and has no record of the id.
    Full,
    /// Another owner's operation table decides the id, the id is caller-supplied and came without its claim row, or its
    /// time of issue is in the future.
    NotOwner,
}

impl BeginOutcome {
    /// Refusal to send to the caller; `None` for an attempt, a wait or an answer.
    ///
    /// "Not run" refers to this request only. [`BeginOutcome::Expired`] is "unknown", because an earlier request may
    /// have run.
    pub fn refusal(&self) -> Option<(Code, Run)> {
        match self {
            Self::Begin(_) | Self::InProgress(_) | Self::Done(_) => None,
            Self::AnswerGone => Some((Code::AnswerGone, Run::Unknown)),
            Self::Unresolved => Some((Code::OperationUnresolved, Run::Unknown)),
            Self::Expired => Some((Code::OperationIdExpired, Run::Unknown)),
            Self::Mismatch => Some((Code::OperationMismatch, Run::NotRun)),
            Self::Full => Some((Code::OperationTableFull, Run::NotRun)),
            Self::NotOwner => Some((Code::OwnerUnreachable, Run::Unknown)),
        }
    }
}
