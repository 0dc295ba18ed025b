use mh_types::Code;

use crate::claim_row::ClaimRow;

/// Outcome of a claim's conditional create, from its reply or from a read back by write id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was created.
    Committed,
    /// The row existed; `None` when its contents cannot be decoded.
    Conflict(Option<ClaimRow>),
    /// The write may have taken effect: a lost or late reply, or a read back that failed.
    Unknown,
    /// The write has had no effect so far, for the reason given: it was not sent, or the read back did not find it.
    ///
    /// If it takes effect later, the row names this owner, which is harmless: a row alone does not run an operation.
    NotApplied(Code),
}
