use std::net::SocketAddr;

use mh_types::{DomainName, Incarnation, RegionName, VmName};
use serde::{Deserialize, Serialize};

use crate::Health;
use crate::hash::hash;

/// Record of a VM: what the VM publishes about itself, and its health as reported by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Address at which peers reach the VM.
    pub addr: Option<SocketAddr>,
    /// Incarnation of its process; 0 if the VM is known only from the platform's list.
    pub incarnation: Incarnation,
    /// Sequence number of the record in this incarnation; only the VM itself increments it.
    pub seq: u64,
    /// Health as reported for this version of the record.
    pub health: Health,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// Version of the VM's payload, opaque to membership.
    pub payload: u64,
}

/// Maximum encoded size of a record's numbers, length prefixes and address, in bytes.
const MAX_FIXED_BYTES: usize = 63;

impl Record {
    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        MAX_FIXED_BYTES + self.vm.as_str().len() + self.domain.as_str().len() + self.region.as_str().len()
    }

    pub(crate) fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.seq)
    }

    /// Returns a hash of the name, the version and whether the VM is dead.
    pub(crate) fn digest(&self) -> u32 {
        hash(&[
            self.vm.as_str().as_bytes(),
            &self.incarnation.0.to_le_bytes(),
            &self.seq.to_le_bytes(),
            &[u8::from(self.health == Health::Dead)],
        ]) as u32
    }

    pub(crate) fn key(&self) -> u64 {
        vm_key(&self.vm)
    }
}

/// Returns the position of a VM on the ring of its failure domain.
///
/// The position is a hash, so that VMs of a rack, whose names are similar, are not adjacent.
pub(crate) fn vm_key(vm: &VmName) -> u64 {
    hash(&[vm.as_str().as_bytes()])
}

/// Returns the hash that identifies a failure domain in messages.
pub(crate) fn domain_key(domain: &DomainName) -> u32 {
    hash(&[domain.as_str().as_bytes()]) as u32
}
