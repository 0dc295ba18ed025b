use std::collections::HashMap;
use std::time::Duration;

use mh_types::{RegionName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::RelayVm;

/// Relays that are tried for one connection; each may take up to a connect timeout.
pub const MAX_RELAYS_PER_CONNECTION: usize = 3;

/// Time for which a VM that could not relay a connection is not asked again: as long as the VM needs to notice that it
/// reaches the servers again.
const REST: Duration = Duration::from_secs(1);

/// The VMs that may relay connections for this one.
#[derive(Debug, Default)]
pub struct Relays {
    vms: Vec<RelayVm>,
    /// VMs that could not relay a connection, with the time from which they may be asked again.
    resting: HashMap<VmName, Instant>,
}

impl Relays {
    /// Replaces the list of VMs that are alive.
    pub fn set_vms(&mut self, vms: Vec<RelayVm>) {
        self.resting.retain(|vm, _| vms.iter().any(|listed| listed.vm == *vm));
        self.vms = vms;
    }

    /// Returns whether `vm` is alive.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.iter().any(|listed| listed.vm == *vm)
    }

    /// Records that `vm` could not relay a connection.
    pub fn on_refused(&mut self, vm: &VmName, now: Instant) {
        self.resting.insert(vm.clone(), now + REST);
    }

    /// Returns the VMs to ask for a connection, in the order in which to ask them: VMs of `own_region` before others, and
    /// a random one first, so that the load spreads over all of them. If `regions` is not empty, the request must not
    /// leave these regions.
    pub fn choose(
        &self,
        now: Instant,
        own_region: &RegionName,
        regions: &[RegionName],
        rnd: u64,
    ) -> SmallVec<[RelayVm; MAX_RELAYS_PER_CONNECTION]> {
        let is_rested = |vm: &RelayVm| self.resting.get(&vm.vm).is_none_or(|at| now >= *at);
        let is_allowed = |vm: &RelayVm| regions.is_empty() || regions.contains(&vm.region);
        let usable: Vec<&RelayVm> = self.vms.iter().filter(|vm| is_rested(vm) && is_allowed(vm)).collect();
        let (near, far): (Vec<&RelayVm>, Vec<&RelayVm>) = usable.into_iter().partition(|vm| vm.region == *own_region);
        rotated(&near, rnd)
            .chain(rotated(&far, rnd))
            .take(MAX_RELAYS_PER_CONNECTION)
            .cloned()
            .collect()
    }
}

/// Iterates over all `vms`, from a random one on.
fn rotated<'a>(vms: &'a [&'a RelayVm], rnd: u64) -> impl Iterator<Item = &'a RelayVm> {
    let start = (rnd % vms.len().max(1) as u64) as usize;
    vms.iter().cycle().skip(start).take(vms.len()).copied()
}
