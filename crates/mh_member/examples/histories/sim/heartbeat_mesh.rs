use std::collections::BTreeMap;
use std::time::Duration;

use mh_member::{Config, MemberState, VmList};
use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use super::{Protocol, SimVm};

/// Time without a heartbeat after which a VM is considered dead.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Baseline protocol: a full mesh of heartbeats without indirect probes, in which a VM judges another one only by the
/// heartbeats that it receives itself.
pub struct HeartbeatMesh {
    local_vm: VmName,
    incarnation: Incarnation,
    next_heartbeat: Instant,
    last_heard: BTreeMap<VmName, (Instant, Incarnation)>,
}

impl Protocol for HeartbeatMesh {
    type Msg = Incarnation;

    fn start(sim_vm: &SimVm, incarnation: Incarnation, now: Instant, _: &Config) -> Self {
        Self {
            local_vm: sim_vm.vm.clone(),
            incarnation,
            next_heartbeat: now,
            last_heard: BTreeMap::new(),
        }
    }

    fn tick(&mut self, now: Instant, _: u64) -> Vec<(VmName, Incarnation)> {
        if let Some((at, _)) = self.last_heard.get_mut(&self.local_vm) {
            *at = now;
        }
        if now < self.next_heartbeat {
            return vec![];
        }
        self.next_heartbeat = now + Duration::from_millis(300);
        let others = self.last_heard.keys().filter(|vm| **vm != self.local_vm);
        others.map(|vm| (vm.clone(), self.incarnation)).collect()
    }

    fn receive(&mut self, now: Instant, from: &VmName, msg: Incarnation) -> Vec<(VmName, Incarnation)> {
        self.last_heard.insert(from.clone(), (now, msg));
        vec![]
    }

    fn list(&mut self, now: Instant, list: &VmList) {
        for listed in &list.vms {
            self.last_heard
                .entry(listed.vm.clone())
                .or_insert((now, Incarnation(0)));
        }
    }

    fn add_seed_vm(&mut self, now: Instant, sim_vm: &SimVm) {
        self.last_heard
            .entry(sim_vm.vm.clone())
            .or_insert((now, Incarnation(0)));
    }

    fn state(&self, vm: &VmName) -> Option<MemberState> {
        let now = self.last_heard.values().map(|(at, _)| *at).max()?;
        let (at, _) = self.last_heard.get(vm)?;
        Some(if now - *at > HEARTBEAT_TIMEOUT && *vm != self.local_vm {
            MemberState::Dead
        } else {
            MemberState::Alive
        })
    }

    fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        self.last_heard.get(vm).map(|(_, incarnation)| *incarnation)
    }
}
