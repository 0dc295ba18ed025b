use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mh_budget::Limiter;
use mh_route::objects::WorkTimes;
use mh_shift::Canary;
use mh_types::{OrgName, RegionName, RouteName, ServiceName, VersionName};

use crate::{Plan, ServiceBackends, ShiftPhase};

/// Everything that a request reads; replaced as a whole when anything changes.
#[derive(Clone, Debug, Default)]
pub struct Live {
    /// The plan in force; `None` before the first one is known.
    pub plan: Option<Arc<Plan>>,
    /// Backend servers by service.
    pub backends: HashMap<ServiceName, Arc<ServiceBackends>>,
    /// This VM's shares of the quotas.
    pub quotas: HashMap<OrgName, Limiter>,
    /// Observed work times by route.
    pub work: HashMap<RouteName, Arc<WorkTimes>>,
    /// Shifts by service.
    pub shifts: HashMap<ServiceName, ActiveShift>,
    /// VMs that callers may use, with their regions.
    pub vms: Vec<(RegionName, SocketAddr)>,
    /// Whether this VM can serve: plan and register are known, and it is not shutting down.
    pub ready: bool,
}

/// A shift as requests see it.
#[derive(Clone, Debug)]
pub struct ActiveShift {
    /// The new version.
    pub to: VersionName,
    /// How far the shift is.
    pub phase: ShiftPhase,
    /// Evidence, on the VMs that expose the new version.
    pub canary: Option<Arc<Canary>>,
}
