use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{BitSet, HeldRevisions};

/// Members of one failure domain that attested to the same held revisions at about the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryGroup {
    /// The members, by position in the domain's sorted member list.
    #[serde(rename = "m")]
    pub members: BitSet,
    /// Milliseconds since the oldest attestation of the group, rounded up.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Revisions held by every member of the group, with the shortest time for which one of them held them.
    #[serde(flatten)]
    pub holding: HeldRevisions,
}

/// Attestations of one failure domain's members, aggregated by the VM that relays them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttestationSummary {
    /// Hash of the domain's name and member list, which gives the positions their meaning.
    ///
    /// A receiver whose roster has no domain with this tag ignores the summary, so that a roster change in one domain
    /// leaves the summaries of the others readable.
    #[serde(rename = "t")]
    pub tag: u64,
    /// The groups; a member is in at most one.
    #[serde(rename = "g")]
    pub groups: SmallVec<[SummaryGroup; 2]>,
}
