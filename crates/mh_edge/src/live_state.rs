use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mh_budget::Limiter;
use mh_config::Snapshot;
use mh_route::SlotFractions;
use mh_types::{DomainName, OrgName, ServiceName, VmName};
use serde::Serialize;

use crate::{Backends, VersionGate};

/// Immutable state that requests use; any change replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct LiveState {
    /// Settings in force.
    pub snapshot: Arc<Snapshot>,
    /// Backend servers by service.
    pub backends: HashMap<ServiceName, Arc<Backends>>,
    /// Rate limiters of the organisations.
    pub limiters: Arc<HashMap<OrgName, Limiter>>,
    /// Version shifts by service.
    pub version_gates: HashMap<ServiceName, Arc<VersionGate>>,
    /// VMs that callers may use, best first.
    pub vms: Vec<VmChoice>,
    /// Share of the servers' slots that this VM may use.
    pub share: SlotFractions,
    /// Whether this VM is shutting down.
    pub leaving: bool,
}

/// A VM that callers may use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VmChoice {
    /// Name of the VM.
    pub vm: VmName,
    /// Address of the caller port.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Weight of the VM relative to the sum of the weights of all listed VMs.
    pub weight: u32,
}
