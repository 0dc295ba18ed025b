use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mh_budget::Limiter;
use mh_route::admission::Admission;
use mh_route::objects::WorkTimes;
use mh_shift::Canary;
use mh_types::{OrgName, RegionName, RouteName, ServiceName, VersionName};

use crate::{Plan, ServiceBackends, ShiftPhase};

/// State that requests are served from; replaced as a whole on every change.
#[derive(Clone, Debug, Default)]
pub struct LiveState {
    /// The plan in force; `None` until the first one is loaded.
    pub plan: Option<Arc<Plan>>,
    /// Backend servers by service.
    pub backends: HashMap<ServiceName, Arc<ServiceBackends>>,
    /// This VM's shares of the quotas, by organisation.
    pub quotas: HashMap<OrgName, Limiter>,
    /// Observed processing times by route.
    pub work_times: HashMap<RouteName, Arc<WorkTimes>>,
    /// Admission to services that routes of different priority use.
    pub admissions: HashMap<ServiceName, Arc<Admission>>,
    /// Shifts by service.
    pub shifts: HashMap<ServiceName, ActiveShift>,
    /// VMs that look-ups return, with their regions.
    pub vms: Vec<(RegionName, SocketAddr)>,
    /// Whether a plan is loaded and every feed was read at least once.
    pub ready: bool,
}

/// A shift of a service to another version, as the request path reads it.
#[derive(Clone, Debug)]
pub struct ActiveShift {
    /// The new version.
    pub to: VersionName,
    /// Phase of the shift.
    pub phase: ShiftPhase,
    /// Canary statistics, on the VMs that expose the new version.
    pub canary: Option<Arc<Canary>>,
}
