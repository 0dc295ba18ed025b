use std::sync::Arc;
use std::time::Duration;

use mh_member::{MemberState, VmList, VmListEntry};
use mh_types::{Event, RegionName, VmName, emit};
use std::net::SocketAddr;
use tokio::time::{Instant, MissedTickBehavior};

use super::datagram::decode;
use super::shift_write::run_shifts;
use super::stale_vms::update_list;
use super::{Datagram, QuotaController};
use crate::node::{GatewayNode, lock};
use crate::pause::BootClock;
use crate::{AnnouncedVm, Feed};

/// Time between two ticks of the membership protocol.
const TICK: Duration = Duration::from_millis(200);

/// Ticks between two reports of servers' loads to other VMs; the reports of one interval share a datagram.
const REPORT_TICKS: usize = 2;

/// Largest message of another VM, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// Exchanges heartbeats with other VMs and acts on what changes with time.
pub(crate) async fn run_members(node: Arc<GatewayNode>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut boot = BootClock::start();
    let mut last_tick = Instant::now();
    let mut count: usize = 0;
    loop {
        tokio::select! {
            received = node.receive(&mut buf) => {
                let Ok(len) = received else { continue };
                match decode::<Datagram>(&buf[..len]) {
                    Ok((from, datagram)) => take(&node, &from, datagram),
                    Err(e) => emit!(Event::PeerMessageInvalid, bytes = len, error = e),
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                let suspended = boot.suspended();
                let stalled = Some(now - last_tick).filter(|gap| *gap >= QuotaController::pause_limit());
                if let Some(time) = suspended.or(stalled) {
                    emit!(Event::Suspended, for_ms = time.as_millis());
                    node.start_epoch();
                }
                last_tick = now;
                tick(&node, now);
                count += 1;
                if count.is_multiple_of(REPORT_TICKS) {
                    node.send_load_reports(count / REPORT_TICKS);
                }
            }
        }
    }
}

/// Takes in a datagram of another VM.
fn take(node: &Arc<GatewayNode>, from: &VmName, datagram: Datagram) {
    let now = Instant::now();
    match datagram {
        Datagram::Member(msg) => {
            let out = lock(&node.members).on_msg(now, from, msg);
            node.send(out);
        }
        Datagram::News(news) => node.on_news(from, news, now),
        Datagram::NoNews => node.on_no_news(from),
        Datagram::Loads(loads) => node.on_load_reports(&loads, now),
        Datagram::Lend(msgs) => {
            let out = lock(&node.quotas).on_msgs(from, &msgs, now);
            node.send_lending(out);
        }
        Datagram::Take { number, org } => {
            let answer = lock(&node.quotas).take(&org);
            if let (Some(answer), Some(addr)) = (answer, node.peer_addr(from)) {
                node.send_to(addr, &Datagram::Taken { number, answer });
            }
        }
        Datagram::Taken { number, answer } => node.on_taken(number, answer),
    }
}

fn tick(node: &Arc<GatewayNode>, now: Instant) {
    let (alive, vms) = update_members(node, now);
    node.relay.on_tick(now);
    let changed = run_shifts(node, &alive, vms, now);
    if node.time_has_come(now) || changed {
        node.rebuild(now);
    }
    let out = lock(&node.members).on_tick(now, rand::random());
    node.send(out);
    let out = lock(&node.quotas).on_tick(now);
    node.send_lending(out);
}

/// Tells the membership protocol what is listed and takes its view; returns the VMs that are alive and the number that
/// share limits.
fn update_members(node: &Arc<GatewayNode>, now: Instant) -> (Vec<VmName>, u32) {
    let world = lock(&node.world);
    let mut members = lock(&node.members);
    if world.has_read(Feed::Vms) {
        let list = VmList {
            vms: world
                .vms()
                .map(|vm| VmListEntry {
                    vm: vm.vm.clone(),
                    domain: vm.domain.clone(),
                    region: vm.region.clone(),
                    addr: Some(vm.peers),
                    leaving: false,
                })
                .collect(),
        };
        if node.list_changed(&list) {
            let region = world.vms().filter(|vm| vm.region == node.cfg.region);
            let region = region.map(|vm| (vm.vm.clone(), vm.domain.clone()));
            node.relay.set_vms(region.collect(), now);
            members.on_list(now, &list);
        }
    }
    let view = members.view();
    let usable = |vm: &VmName| matches!(view.state(vm), Some(MemberState::Alive)) && !node.is_self_leaving(vm);
    let mut alive: Vec<VmName> = Vec::new();
    let mut callers: Vec<(RegionName, SocketAddr)> = Vec::new();
    for vm in world.vms().filter(|vm| usable(&vm.vm)) {
        alive.push(vm.vm.clone());
        callers.push((vm.region.clone(), vm.callers));
    }
    let is_neighbour = |vm: &AnnouncedVm| vm.region == node.cfg.region && vm.vm != node.cfg.vm;
    let has_neighbours = world.vms().any(|vm| is_neighbour(vm) && usable(&vm.vm));
    node.relay.set_alone(!has_neighbours);
    let dead = world.vms().filter(|vm| view.state(&vm.vm) == Some(MemberState::Dead));
    let dead: Vec<VmName> = dead.map(|vm| vm.vm.clone()).collect();
    let own = node.announced();
    // A restarted VM whose entry still holds need not write it again.
    let is_listed = world.vm(&own.vm) == Some(&own);
    let unlisted = world.has_read(Feed::Vms) && !is_listed && !node.gateway.is_leaving();
    if !alive.contains(&own.vm) && !node.gateway.is_leaving() {
        alive.push(own.vm);
        callers.push((own.region, own.callers));
    }
    let listed = world.vms().count().max(1);
    drop(members);
    drop(world);
    let mut stale = lock(&node.stale_vms);
    let due = stale.due(node.gateway.vm(), &alive, dead, now);
    let unlisted = unlisted && stale.may_try(node.gateway.vm(), now);
    drop(stale);
    update_list(node, due, unlisted);
    node.set_vms(alive.len(), listed, callers);
    (alive, node.sharing_vms())
}

#[cfg(test)]
#[path = "../../tests/unit/member_loop.rs"]
mod tests;
