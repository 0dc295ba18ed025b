use std::net::SocketAddr;

use mh_types::{DomainName, RegionName};
use serde::{Deserialize, Serialize};

/// A VM as it lists itself.
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
    /// Address for messages of other VMs.
    pub peers: SocketAddr,
}
