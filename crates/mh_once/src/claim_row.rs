use mh_types::{Incarnation, VmName};
use serde::{Deserialize, Serialize};

use crate::owner::Owner;

/// Contents of a claim row, which names the owner of a caller-supplied id.
///
/// The row is created once, by a conditional write, and never changed. A claim is never taken over, because the
/// claimant may be paused after sending the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// VM that owns the id.
    pub vm: VmName,
    /// Incarnation of that VM's process.
    pub incarnation: Incarnation,
    /// Time of the claim in milliseconds on the claimant's clock; start of the id's lifetime.
    pub claimed_ms: u64,
}

impl ClaimRow {
    /// Returns true if `owner` is the claimant.
    pub fn is_claimed_by(&self, owner: &Owner) -> bool {
        owner.matches(&self.vm, self.incarnation)
    }
}
