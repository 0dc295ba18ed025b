use std::net::SocketAddr;

use mh_types::{DomainName, RegionName, VmName};

/// VM list of the platform, as returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// VMs that are running or about to stop.
    pub vms: Vec<VmListEntry>,
}

/// Entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListEntry {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Address at which peers reach the VM.
    pub addr: Option<SocketAddr>,
    /// Whether the VM is about to stop.
    pub leaving: bool,
}
