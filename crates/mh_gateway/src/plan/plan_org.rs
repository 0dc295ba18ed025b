use mh_types::{OrgName, RegionName};
use serde::{Deserialize, Serialize};

/// An organisation with its quota for the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanOrg {
    /// Name.
    pub name: OrgName,
    /// Requests per second over all VMs; 0 for no limit.
    pub rate_per_s: f64,
    /// Burst in requests over all VMs.
    pub burst: f64,
    /// Priority, which takes precedence over a route's; 0 is the most urgent.
    pub priority: u32,
    /// Regions whose servers may serve its requests; empty for all.
    pub regions: Vec<RegionName>,
}
