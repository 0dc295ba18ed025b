use std::time::Duration;

use mh_types::{OrgName, VmName};

use crate::{Block, RankingId, SiteId, VmSpec};

/// Input for building a [`Table`](crate::Table).
#[derive(Clone, Debug, Default)]
pub struct TableSpec {
    /// Time for which callers may use a result; each result gets a random 80 to 100% of it.
    pub lifetime: Duration,
    /// All entry VMs.
    pub vms: Vec<VmSpec>,
    /// Lists of sites from the nearest to the farthest; ranking 0 applies to addresses outside all blocks and lists
    /// every site.
    pub rankings: Vec<Vec<SiteId>>,
    /// Address blocks with their rankings; of equal blocks the last one is used.
    pub blocks: Vec<(Block, RankingId)>,
    /// Home VMs of organisations whose budgets are too small to divide.
    pub homes: Vec<(OrgName, Vec<VmName>)>,
}
