use std::collections::HashMap;
use std::time::Duration;

use mh_types::{RegionName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::TunnelVm;

/// VMs that are asked for one tunnel. One that is cut off itself refuses within a round trip, and nearly all may be cut off.
pub const MAX_TUNNEL_VMS: usize = 8;

/// Time for which a VM that could not open a tunnel is not asked again; it doubles with each further refusal.
const MIN_REST: Duration = Duration::from_secs(1);

/// Maximum doublings of [`MIN_REST`].
const MAX_DOUBLINGS: u32 = 2;

/// VMs of the own region that are asked before one of another region, while none is known that can open a tunnel.
const NEAR_PER_FAR: usize = 2;

/// What became of the last tunnel through a VM.
#[derive(Clone, Copy, Debug)]
enum LastTunnel {
    Opened,
    Refused { rests_until: Instant, refusals: u32 },
}

/// The VMs that may open tunnels for this one.
#[derive(Debug, Default)]
pub struct TunnelVms {
    vms: Vec<TunnelVm>,
    last: HashMap<VmName, LastTunnel>,
}

impl TunnelVms {
    /// Replaces the list of VMs that are alive.
    pub fn set_vms(&mut self, vms: Vec<TunnelVm>) {
        self.last.retain(|vm, _| vms.iter().any(|listed| listed.vm == *vm));
        self.vms = vms;
    }

    /// Returns whether `vm` is alive.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.iter().any(|listed| listed.vm == *vm)
    }

    /// Records that `vm` opened a tunnel.
    pub fn on_opened(&mut self, vm: &VmName) {
        self.last.insert(vm.clone(), LastTunnel::Opened);
    }

    /// Records that `vm` could not open a tunnel.
    pub fn on_refused(&mut self, vm: &VmName, now: Instant) {
        let before = match self.last.get(vm) {
            Some(LastTunnel::Refused { refusals, .. }) => *refusals,
            _ => 0,
        };
        let refused = LastTunnel::Refused {
            rests_until: now + MIN_REST * (1 << before.min(MAX_DOUBLINGS)),
            refusals: before + 1,
        };
        self.last.insert(vm.clone(), refused);
    }

    /// Returns the VMs to ask for a tunnel, in the order in which to ask them: those that opened the last one first, and
    /// VMs of `own_region` before others. The order of equal ones is random, so that the load spreads. If `regions` is not
    /// empty, the request must not leave these regions.
    pub fn choose(
        &self,
        now: Instant,
        own_region: &RegionName,
        regions: &[RegionName],
        rnd: u64,
    ) -> SmallVec<[TunnelVm; MAX_TUNNEL_VMS]> {
        let is_allowed = |vm: &TunnelVm| regions.is_empty() || regions.contains(&vm.region);
        let (mut near, mut far, mut opened_near, mut opened_far) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for vm in self.vms.iter().filter(|vm| is_allowed(vm)) {
            let is_near = vm.region == *own_region;
            match self.last.get(&vm.vm) {
                Some(LastTunnel::Refused { rests_until, .. }) if now < *rests_until => {}
                Some(LastTunnel::Opened) if is_near => opened_near.push(vm),
                Some(LastTunnel::Opened) => opened_far.push(vm),
                _ if is_near => near.push(vm),
                _ => far.push(vm),
            }
        }
        for group in [&mut near, &mut far, &mut opened_near, &mut opened_far] {
            let start = rnd % group.len().max(1) as u64;
            group.rotate_left(start as usize);
        }
        let mut far = far.into_iter();
        let mut untried = Vec::new();
        for (n, vm) in near.into_iter().enumerate() {
            untried.push(vm);
            if n % NEAR_PER_FAR == NEAR_PER_FAR - 1 {
                untried.extend(far.next());
            }
        }
        let chosen = opened_near.into_iter().chain(opened_far).chain(untried).chain(far);
        chosen.take(MAX_TUNNEL_VMS).cloned().collect()
    }
}
