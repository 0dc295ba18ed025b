use mh_types::Code;

use crate::claim_row::ClaimRow;
use crate::row_key::RowKey;

/// Outcome of a [`Batch`](crate::Batch), from its reply or from a read back by write id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Every row was created.
    Committed,
    /// No row was created because these rows existed; `None` for a row that cannot be decoded.
    Conflict(Vec<(RowKey, Option<ClaimRow>)>),
    /// The write may have taken effect.
    Unknown,
    /// The write has had no effect so far, for the reason given.
    NotApplied(Code),
}
