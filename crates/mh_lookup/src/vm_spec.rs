use std::net::SocketAddr;

use mh_types::VmName;
use serde::{Deserialize, Serialize};

use crate::SiteId;

/// An entry VM that look-ups can return.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSpec {
    /// Name of the VM.
    pub name: VmName,
    /// Address of its caller port.
    pub addr: SocketAddr,
    /// Site that the VM is in.
    pub site: SiteId,
    /// Weight relative to the other VMs of its site; a VM of weight zero gets no callers.
    pub weight: u32,
    /// Whether the VM accepts callers.
    pub state: VmAvailability,
    /// Number of look-ups per lifetime that may return the VM as the first choice before other VMs are preferred.
    pub headroom: u32,
}

/// Availability of a VM for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmAvailability {
    /// The VM accepts callers.
    Serving,
    /// The VM is shutting down.
    Leaving,
    /// The VM does not respond.
    Failed,
}
