use std::net::SocketAddr;

use mh_types::{DomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

/// Snapshot of the platform's VM list, which may be out of date by up to `lag_ms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Maximum staleness of the list, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Listed VMs.
    pub vms: Vec<ListedVm>,
}

/// Entry of a VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// VM name.
    pub name: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Lifecycle state.
    pub state: VmState,
    /// Address for client requests.
    pub caller: SocketAddr,
    /// Address for requests from other VMs.
    pub peer: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
}

/// Lifecycle state of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}
