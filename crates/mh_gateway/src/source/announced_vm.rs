use std::net::SocketAddr;

use mh_types::{DomainName, RegionName};
use serde::{Deserialize, Serialize};

/// Entry of a VM in the VM list, as the VM wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedVm {
    /// Name.
    pub vm: mh_types::VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for messages from other VMs.
    pub peers: SocketAddr,
}
