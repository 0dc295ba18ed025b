use std::net::SocketAddr;

use mh_types::{RegionName, VmName};

/// Another VM that may relay connections to backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Region in which requests pass through it.
    pub region: RegionName,
    /// Address that accepts connections to relay.
    pub addr: SocketAddr,
}
