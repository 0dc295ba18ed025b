use std::net::SocketAddr;

use mh_types::{RegionName, VmName};

/// Another VM that may open tunnels to backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Region in which requests pass through it.
    pub region: RegionName,
    /// Address that accepts requests for tunnels.
    pub addr: SocketAddr,
}
