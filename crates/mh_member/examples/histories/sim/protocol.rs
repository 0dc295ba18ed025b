use mh_member::{Config, MemberState, Membership, Msg, VmList};
use mh_types::{Incarnation, VmName};
use serde::Serialize;
use tokio::time::Instant;

use super::SimVm;

/// Membership protocol under test, as run by one VM.
pub trait Protocol: Sized {
    type Msg: Clone + Serialize;

    fn start(sim_vm: &SimVm, incarnation: Incarnation, now: Instant, cfg: &Config) -> Self;
    fn tick(&mut self, now: Instant, entropy: u64) -> Vec<(VmName, Self::Msg)>;
    fn receive(&mut self, now: Instant, from: &VmName, msg: Self::Msg) -> Vec<(VmName, Self::Msg)>;
    fn list(&mut self, now: Instant, list: &VmList);
    fn add_seed_vm(&mut self, now: Instant, sim_vm: &SimVm);
    /// Returns the state of `vm`, or `None` if it is unknown or removed.
    fn state(&self, vm: &VmName) -> Option<MemberState>;
    fn incarnation(&self, vm: &VmName) -> Option<Incarnation>;
}

impl Protocol for Membership {
    type Msg = Msg;

    fn start(sim_vm: &SimVm, incarnation: Incarnation, now: Instant, cfg: &Config) -> Self {
        Self::new(
            sim_vm.vm.clone(),
            incarnation,
            sim_vm.domain.clone(),
            sim_vm.region.clone(),
            now,
            cfg.clone(),
        )
    }

    fn tick(&mut self, now: Instant, entropy: u64) -> Vec<(VmName, Msg)> {
        self.on_tick(now, entropy)
            .into_iter()
            .map(|outgoing| (outgoing.to, outgoing.msg))
            .collect()
    }

    fn receive(&mut self, now: Instant, from: &VmName, msg: Msg) -> Vec<(VmName, Msg)> {
        self.on_msg(now, from, msg)
            .into_iter()
            .map(|outgoing| (outgoing.to, outgoing.msg))
            .collect()
    }

    fn list(&mut self, now: Instant, list: &VmList) {
        self.on_list(now, list);
    }

    fn add_seed_vm(&mut self, now: Instant, sim_vm: &SimVm) {
        self.add_seed_vm(now, &sim_vm.list_entry());
    }

    fn state(&self, vm: &VmName) -> Option<MemberState> {
        self.view().state(vm)
    }

    fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        self.view().get(vm).map(|member| member.record.incarnation)
    }
}
