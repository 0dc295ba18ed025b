use crate::claim_step::ClaimStep;
use crate::row_key::RowKey;

/// Effect of a write's outcome on the claims in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchProgress {
    /// Claims that are finished, each with its final step.
    pub settled: Vec<(RowKey, ClaimStep)>,
    /// Whether the write's outcome must be read back by its write id.
    pub read_back: bool,
}
