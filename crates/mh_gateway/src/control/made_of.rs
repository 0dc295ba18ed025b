use mh_route::objects::{ListedServer, RegionDistribution};
use tokio::time::Instant;

use crate::{Bounds, PlanService, ServiceBackends};

/// What the servers of one service are made of for requests; they are made anew only when a part of it changes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MadeOf {
    pub(super) service: PlanService,
    pub(super) servers: Vec<ListedServer>,
    pub(super) places: RegionDistribution,
    pub(super) bounds: Bounds,
    /// VMs that share limits.
    pub(super) vms: u32,
}

impl MadeOf {
    /// The servers for requests; `previous` keeps connections and observations.
    pub(super) fn build(&self, previous: Option<&ServiceBackends>, now: Instant) -> ServiceBackends {
        ServiceBackends::new(
            &self.service,
            &self.servers,
            previous,
            self.vms,
            &self.places,
            &self.bounds,
            now,
        )
    }
}
