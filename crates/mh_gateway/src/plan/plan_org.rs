use mh_types::{OrgName, RegionName};
use serde::{Deserialize, Serialize};

/// An organisation with its quota over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanOrg {
    /// Name.
    pub name: OrgName,
    /// Requests a second over all VMs; zero for no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once over all VMs.
    pub burst: f64,
    /// Rank, which goes before a route's; zero is the most urgent.
    pub priority: u32,
    /// Regions whose servers may get its requests; empty for all.
    pub regions: Vec<RegionName>,
}
