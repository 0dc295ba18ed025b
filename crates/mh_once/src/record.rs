use std::sync::Arc;

use tokio::sync::watch;

use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::wait_outcome::WaitOutcome;

/// Owner's record of one operation.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) fingerprint: Fingerprint,
    /// End of the id's lifetime in milliseconds on the owner's clock.
    pub(crate) expires_ms: u64,
    pub(crate) state: RecordState,
}

/// State of an operation.
#[derive(Debug)]
pub(crate) enum RecordState {
    /// An attempt is in progress. The channel is created when the first repeat waits for it.
    Running(Option<watch::Sender<Option<WaitOutcome>>>),
    /// The operation ran, and its answer is kept.
    Answered(Arc<Answer>),
    /// The operation ran, and its answer is not kept.
    AnswerGone,
    /// The operation may have run.
    Unknown,
}
