use crate::batch::Batch;
use crate::claim_step::ClaimStep;
use crate::row_key::RowKey;

/// Output of [`ClaimBatcher::poll`](crate::ClaimBatcher::poll).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollOutput {
    /// Claims that were queued for too long, each with its final step.
    pub settled: Vec<(RowKey, ClaimStep)>,
    /// Write to send.
    pub batch: Option<Batch>,
}
