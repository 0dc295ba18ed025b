use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mh_platform::{ListedVm, VmListing, VmState};
use mh_route::SlotFractions;
use mh_types::{DomainName, Incarnation, RegionName, Revision, VmName};
use tokio::time::Instant;

/// Time without a heartbeat after which a VM is no longer offered to callers.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The platform's VM list and the latest heartbeat of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(crate) listing: VmListing,
    pub(crate) heartbeats: BTreeMap<VmName, ReceivedHeartbeat>,
}

/// Latest heartbeat of a peer.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) at: Instant,
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: Revision,
    pub(crate) leaving: bool,
}

impl Peers {
    /// Records a heartbeat; one from an earlier incarnation of the same VM is ignored.
    pub(crate) fn record_heartbeat(&mut self, vm: &VmName, heartbeat: ReceivedHeartbeat) {
        match self.heartbeats.get(vm) {
            Some(old) if old.incarnation > heartbeat.incarnation => {}
            _ => {
                self.heartbeats.insert(vm.clone(), heartbeat);
            }
        }
    }

    pub(crate) fn others<'a>(&'a self, own_name: &'a VmName) -> impl Iterator<Item = &'a ListedVm> {
        self.listing.vms.iter().filter(move |vm| vm.name != *own_name)
    }

    /// Returns the address at which `vm` listens for peers.
    pub(crate) fn addr_of(&self, vm: &VmName) -> Option<SocketAddr> {
        self.listing
            .vms
            .iter()
            .find(|listed| listed.name == *vm)
            .map(|listed| listed.peer)
    }

    /// Returns this VM's share of the servers' slots, split evenly among the listed VMs.
    pub(crate) fn share(&self, location: (&DomainName, &RegionName)) -> SlotFractions {
        let vms = &self.listing.vms;
        let in_domain = vms.iter().filter(|vm| vm.domain == *location.0).count();
        let in_region = vms.iter().filter(|vm| vm.region == *location.1).count();
        SlotFractions::even(in_domain, in_region, vms.len())
    }

    /// Returns the VMs that callers may use, in order of preference for a VM at `location`.
    pub(crate) fn usable(
        &self,
        own_name: &VmName,
        location: (&DomainName, &RegionName),
        now: Instant,
    ) -> Vec<&ListedVm> {
        let is_reachable = |vm: &ListedVm| {
            vm.name == *own_name
                || self
                    .heartbeats
                    .get(&vm.name)
                    .is_some_and(|h| !h.leaving && now - h.at <= HEARTBEAT_TIMEOUT)
        };
        let live = || self.listing.vms.iter().filter(|vm| vm.state == VmState::Live);
        let mut usable: Vec<_> = live().filter(|vm| is_reachable(vm)).collect();
        usable.sort_by_key(|vm| (vm.domain != *location.0, vm.region != *location.1, vm.name != *own_name));
        usable
    }
}
