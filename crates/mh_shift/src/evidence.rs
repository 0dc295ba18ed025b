use mh_types::{DomainName, Incarnation, VmName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Rows, Scores, TakeBackReason};

/// Number of scores that an [`Evidence`] holds without allocation.
const INLINE_SCORES: usize = 4;

/// One VM's counts and test scores for both versions, and its knowledge of the shift.
///
/// Counts are cumulative within one incarnation and a higher sequence number replaces a lower one, so a message may
/// arrive twice, late or out of order without being counted twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// VM that collected the evidence.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Sequence number of this message within the incarnation.
    pub seq: u64,
    /// Hash of the route and domain lists that `scores` and `domain_new` index into; scores of another layout are not
    /// merged.
    pub layout: u64,
    /// One entry for each route in order of name, then one for all routes together.
    pub scores: SmallVec<[Scores; INLINE_SCORES]>,
    /// New-version requests by index of the failure domain; domains without any are left out.
    pub domain_new: SmallVec<[(u16, u32); 2]>,
    /// Latest rows that this VM knows.
    pub rows: Rows,
    /// Reason for which this VM has stopped using the new version.
    pub stop: Option<TakeBackReason>,
}

impl Evidence {
    /// Size of the message in bytes, with fixed-width numbers and without framing.
    pub fn wire_bytes(&self) -> usize {
        let id = |w: &crate::WriteId| w.vm.as_str().len() + 16;
        let rows = self.rows.step.as_ref().map_or(1, |r| 13 + id(&r.write))
            + self.rows.end.as_ref().map_or(1, |r| 2 + id(&r.write));
        let stop = match &self.stop {
            Some(TakeBackReason::Fault(f)) => {
                3 + f.by.as_str().len() + f.route.as_ref().map_or(0, |r| r.as_str().len())
            }
            _ => 1,
        };
        let names = self.vm.as_str().len() + self.domain.as_str().len();
        names + 24 + self.scores.len() * size_of::<Scores>() + self.domain_new.len() * 6 + rows + stop
    }
}
