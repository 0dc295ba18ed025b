use std::collections::HashMap;
use std::time::Duration;

use mh_types::{RegionName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::TunnelVm;

/// VMs that are asked for one tunnel; each may take up to a connect timeout.
pub const MAX_TUNNEL_VMS: usize = 3;

/// Time for which a VM that could not open a tunnel is not asked again: as long as the VM needs to notice that it
/// reaches the servers again.
const REST: Duration = Duration::from_secs(1);

/// The VMs that may open tunnels for this one.
#[derive(Debug, Default)]
pub struct TunnelVms {
    vms: Vec<TunnelVm>,
    /// VMs that could not open a tunnel, with the time from which they may be asked again.
    resting: HashMap<VmName, Instant>,
}

impl TunnelVms {
    /// Replaces the list of VMs that are alive; returns whether one is missing that was in it.
    pub fn set_vms(&mut self, vms: Vec<TunnelVm>) -> bool {
        self.resting.retain(|vm, _| vms.iter().any(|listed| listed.vm == *vm));
        let before = std::mem::replace(&mut self.vms, vms);
        before.iter().any(|vm| !self.contains(&vm.vm))
    }

    /// Returns whether `vm` is alive.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.iter().any(|listed| listed.vm == *vm)
    }

    /// Records that `vm` could not open a tunnel.
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
    ) -> SmallVec<[TunnelVm; MAX_TUNNEL_VMS]> {
        let is_rested = |vm: &TunnelVm| self.resting.get(&vm.vm).is_none_or(|at| now >= *at);
        let is_allowed = |vm: &TunnelVm| regions.is_empty() || regions.contains(&vm.region);
        let usable: Vec<&TunnelVm> = self.vms.iter().filter(|vm| is_rested(vm) && is_allowed(vm)).collect();
        let (near, far): (Vec<&TunnelVm>, Vec<&TunnelVm>) = usable.into_iter().partition(|vm| vm.region == *own_region);
        rotated(&near, rnd)
            .chain(rotated(&far, rnd))
            .take(MAX_TUNNEL_VMS)
            .cloned()
            .collect()
    }
}

/// Iterates over all `vms`, from a random one on.
fn rotated<'a>(vms: &'a [&'a TunnelVm], rnd: u64) -> impl Iterator<Item = &'a TunnelVm> {
    let start = (rnd % vms.len().max(1) as u64) as usize;
    vms.iter().cycle().skip(start).take(vms.len()).copied()
}
