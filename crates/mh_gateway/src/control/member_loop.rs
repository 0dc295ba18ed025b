use std::sync::Arc;
use std::time::Duration;

use mh_member::{List, ListVm, Msg, State};
use mh_types::{Event, RegionName, VmName, emit};
use std::net::SocketAddr;
use tokio::time::{Instant, MissedTickBehavior};

use super::shift_write::run_shifts;
use crate::Feed;
use crate::node::{GatewayNode, lock};
use crate::pause::BootClock;

/// Time between two ticks of the membership protocol.
const TICK: Duration = Duration::from_millis(200);

/// Largest message of another VM, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// Time between two renewals of the shares of quotas, which lapse after 15 s.
const RENEW_EVERY: Duration = Duration::from_secs(5);

/// Exchanges heartbeats with other VMs and acts on what changes with time.
pub(crate) async fn run_members(node: Arc<GatewayNode>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut boot = BootClock::start();
    let mut renew_at = Instant::now() + RENEW_EVERY;
    loop {
        let out = tokio::select! {
            received = node.receive(&mut buf) => {
                let Ok(len) = received else { continue };
                let Ok((from, msg)) = postcard::from_bytes::<(VmName, Msg)>(&buf[..len]) else {
                    emit!(Event::PeerMessageInvalid, bytes = len);
                    continue;
                };
                lock(&node.members).on_msg(Instant::now(), &from, msg)
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                if let Some(time) = boot.suspended() {
                    emit!(Event::Suspended, for_ms = time.as_millis());
                    node.start_epoch();
                }
                tick(&node, now, &mut renew_at);
                lock(&node.members).on_tick(now, rand::random())
            }
        };
        node.send(out);
    }
}

fn tick(node: &Arc<GatewayNode>, now: Instant, renew_at: &mut Instant) {
    let (alive, vms) = update_members(node, now);
    let mut changed = run_shifts(node, &alive, vms, now);
    if now >= *renew_at {
        *renew_at = now + RENEW_EVERY;
        changed = true;
    }
    if node.time_has_come(now) || changed {
        node.rebuild(now);
    }
}

/// Tells the membership protocol what is listed and takes its view; returns the VMs that are alive and the number that
/// share limits.
fn update_members(node: &Arc<GatewayNode>, now: Instant) -> (Vec<VmName>, u32) {
    let world = lock(&node.world);
    let mut members = lock(&node.members);
    if world.has_read(Feed::Vms) {
        let list = List {
            vms: world
                .vms()
                .map(|vm| ListVm {
                    vm: vm.vm.clone(),
                    domain: vm.domain.clone(),
                    region: vm.region.clone(),
                    addr: Some(vm.peers),
                    leaving: false,
                })
                .collect(),
        };
        if node.list_changed(&list) {
            members.on_list(now, &list);
        }
    }
    let view = members.view();
    let usable = |vm: &VmName| matches!(view.state(vm), Some(State::Alive)) && !node.is_self_leaving(vm);
    let mut alive: Vec<VmName> = Vec::new();
    let mut callers: Vec<(RegionName, SocketAddr)> = Vec::new();
    for vm in world.vms().filter(|vm| usable(&vm.vm)) {
        alive.push(vm.vm.clone());
        callers.push((vm.region.clone(), vm.callers));
    }
    let own = node.announced();
    if !alive.contains(&own.vm) && !node.gateway.is_leaving() {
        alive.push(own.vm);
        callers.push((own.region, own.callers));
    }
    let listed = world.vms().count().max(1);
    drop(members);
    drop(world);
    node.set_vms(alive.len(), listed, callers);
    (alive, node.sharing_vms())
}
