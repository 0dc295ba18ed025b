use mh_types::{Code, Run};

use crate::claim_row::ClaimRow;

/// Next step of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the claim row on condition that it does not exist.
    Create(ClaimRow),
    /// Read back the outcome of the write by its write id.
    ReadBack,
    /// This owner is the claimant: continue with [`OpTable::begin_claimed`](crate::OpTable::begin_claimed).
    Local(ClaimRow),
    /// Another VM is the claimant: forward the operation to it together with the row.
    Forward(ClaimRow),
    /// Refuse the request.
    Refuse(Code, Run),
}
