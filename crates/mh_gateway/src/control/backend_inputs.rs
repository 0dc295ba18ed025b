use mh_route::objects::{ListedServer, RegionDistribution};
use tokio::time::Instant;

use crate::{Assignment, Bounds, PlanService, ServiceBackends};

/// Inputs from which the backends of one service are built; they are rebuilt only when an input changes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct BackendInputs {
    pub(super) service: PlanService,
    pub(super) servers: Vec<ListedServer>,
    pub(super) places: RegionDistribution,
    pub(super) bounds: Bounds,
    /// Number of VMs that share limits.
    pub(super) vms: u32,
    pub(super) assignment: Assignment,
}

impl BackendInputs {
    /// Builds the backends; connections and observations of `previous` are kept.
    pub(super) fn build(&self, previous: Option<&ServiceBackends>, now: Instant) -> ServiceBackends {
        let built = ServiceBackends::new(
            &self.service,
            &self.servers,
            previous,
            self.vms,
            &self.places,
            &self.bounds,
            now,
        );
        match self.assignment {
            Assignment::Rendezvous => built,
            Assignment::Stable => built.with_stable_assignment(previous),
        }
    }
}
