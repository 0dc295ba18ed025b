use serde::{Deserialize, Serialize};

/// Number of a site: a group of VMs at the same distance from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SiteId(pub u16);

/// Number of a ranking: a list of sites from the nearest to the farthest, shared by many blocks.
///
/// Ranking 0 lists every site and applies to addresses outside all blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RankingId(pub u16);

impl RankingId {
    /// Ranking of addresses outside all blocks.
    pub const DEFAULT: Self = Self(0);
}
