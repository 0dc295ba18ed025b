use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use mh_member::{Member, MemberState, View, VmList, VmListEntry};
use mh_path::TunnelVm;
use mh_types::{Event, RegionName, VmName, emit};
use std::net::SocketAddr;
use tokio::time::{Instant, MissedTickBehavior};

use super::datagram::decode;
use super::limit_messages::admitting_vms;
use super::shift_writer::run_shifts;
use super::stale_vms::update_vm_list;
use super::{Datagram, DeploymentState, QuotaController};
use crate::SuspendDetector;
use crate::node::{GatewayNode, UnlistedVm, lock};
use crate::{AnnouncedVm, Feed, LookupMode};

/// Time between two ticks of the membership protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Ticks between two load reports to other VMs; the server loads of one interval share a datagram.
const TICKS_PER_LOAD_REPORT: usize = 2;

/// Ticks between two reports of the spare capacity.
const TICKS_PER_CAPACITY_REPORT: usize = 5;

/// Ticks between two rounds of the exchange of demand.
const TICKS_PER_DEMAND_ROUND: usize =
    (mh_route::objects::DemandDistribution::ROUND.as_millis() / TICK_INTERVAL.as_millis()) as usize;

/// Largest accepted datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Runs the membership protocol, handles datagrams of other VMs and performs periodic work until the process ends.
pub(crate) async fn run_membership(node: Arc<GatewayNode>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut suspend_detector = SuspendDetector::start();
    let mut last_tick = Instant::now();
    let mut tick_count: usize = 0;
    loop {
        tokio::select! {
            received = node.receive(&mut buf) => {
                let Ok((len, addr)) = received else { continue };
                match decode::<Datagram>(&buf[..len]) {
                    Ok((from, datagram)) => handle_datagram(&node, &from, addr, datagram),
                    Err(e) => emit!(Event::PeerMessageInvalid, bytes = len, error = e),
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                let suspended = suspend_detector.suspended();
                let stalled = Some(now - last_tick).filter(|gap| *gap >= QuotaController::pause_limit());
                if let Some(time) = suspended.or(stalled) {
                    emit!(Event::Suspended, for_ms = time.as_millis());
                    node.gateway.limits().with(|limits| limits.on_pause(now));
                    node.start_epoch();
                }
                last_tick = now;
                on_tick(&node, now);
                tick_count += 1;
                if tick_count.is_multiple_of(TICKS_PER_LOAD_REPORT) {
                    node.send_load_reports(tick_count / TICKS_PER_LOAD_REPORT);
                }
                if tick_count.is_multiple_of(TICKS_PER_CAPACITY_REPORT) {
                    node.send_capacity(now);
                }
                if tick_count.is_multiple_of(TICKS_PER_DEMAND_ROUND) {
                    node.run_demand_round(now);
                }
            }
        }
    }
}

/// Handles a datagram of another VM, which it sent from `addr`.
fn handle_datagram(node: &Arc<GatewayNode>, from: &VmName, addr: SocketAddr, datagram: Datagram) {
    let now = Instant::now();
    match datagram {
        Datagram::Member(msg) => {
            let out = lock(&node.membership).on_msg(now, from, msg);
            node.send_membership(out);
        }
        Datagram::News(report) => node.on_reader_report(from, *report, now),
        Datagram::NoNews => node.on_reader_failed(from),
        Datagram::Loads(loads) => node.on_load_reports(&loads, now),
        Datagram::StatedLoads(msg) => node.on_stated_loads(from, &msg, now),
        Datagram::Lend(msgs) => {
            let out = lock(&node.quotas).on_msgs(from, &msgs, now);
            node.send_lending(out);
        }
        Datagram::Take { number, org } => {
            let answer = lock(&node.quotas).decide_for_peer(&org);
            if let (Some(answer), Some(addr)) = (answer, node.peer_addr(from)) {
                node.send_to(addr, &Datagram::Taken { number, answer });
            }
        }
        Datagram::Taken { number, answer } => node.pending_token_requests.complete(number, answer),
        Datagram::Crashes(msg) => {
            let out = node.gateway.poison().on_msg(msg);
            node.send_crash_msgs(out);
        }
        Datagram::Limits(msg) => node.on_limit_msg(from, msg),
        Datagram::LimitAsk { number, ask } => node.on_limit_ask(from, number, &ask, now),
        Datagram::LimitReply { number, reply } => node.pending_limit_asks.complete(number, reply),
        Datagram::Capacity { size, spare } => node.on_capacity(from, size, spare, now),
        Datagram::Demand(msg) => node.on_demand_msg(from, &msg, now),
        Datagram::Usage(msg) => node.on_usage_msg(from, addr, msg, now),
        Datagram::Handover(msg) => {
            let answer = lock(&node.quotas).on_handover(from, &msg, now);
            if let Some(answer) = answer {
                // The sender may be missing in this VM's list.
                node.send_to(addr, &Datagram::Handover(answer));
            }
        }
    }
}

fn on_tick(node: &Arc<GatewayNode>, now: Instant) {
    let (alive, vms) = update_membership(node, now);
    node.relay.on_tick(now);
    let changed = run_shifts(node, &alive, vms, now);
    if node.is_change_due(now) || changed {
        node.rebuild(now);
    }
    let out = lock(&node.membership).on_tick(now, rand::random());
    node.send_membership(out);
    let out = lock(&node.quotas).on_tick(now);
    node.send_lending(out);
    ask_for_lists(node, now);
    node.tick_limits(now);
    report_shortages(node, now);
    let cleans_up = alive.iter().min() == Some(node.gateway.vm()) && node.is_clean_up_due(now);
    let out = node.gateway.poison().with(|guard, _| {
        guard.set_vms(alive);
        guard.on_tick(now, rand::random())
    });
    node.send_crash_msgs(out);
    if cleans_up {
        node.remove_stored_quarantines();
    }
}

/// Logs the services of which a shortage began or ended.
fn report_shortages(node: &GatewayNode, now: Instant) {
    for (service, admission) in &node.gateway.live().admissions {
        if let Some(is_short) = admission.shortage_change(now) {
            emit!(
                Event::ShortageChanged,
                service = service,
                short = is_short,
                refused = admission.refused()
            );
        }
    }
}

/// Asks other VMs for their lists of VMs, as far as this VM waits for slots of quotas.
fn ask_for_lists(node: &Arc<GatewayNode>, now: Instant) {
    if !lock(&node.quotas).waits_for_handover() {
        return;
    }
    let dead = {
        let membership = lock(&node.membership);
        let view = membership.view();
        let dead = view
            .members()
            .filter(|member| view.state_of(member) == MemberState::Dead);
        dead.map(|member| member.record.vm.clone()).collect::<HashSet<_>>()
    };
    let (questions, probes) = lock(&node.quotas).handover_questions(now, |vm| dead.contains(vm));
    for (vm, msg) in questions {
        if let Some(addr) = node.peer_addr(&vm) {
            node.send_to(addr, &Datagram::Handover(msg));
        }
    }
    for (vm, org) in probes {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            // A VM answers only those in its list.
            if node.ask_quota(&vm, &org).await.is_some() {
                lock(&node.quotas).on_listed_by(&vm, Instant::now());
            }
        });
    }
}

/// Returns the VMs that are up and missing in the list of this VM, which cannot read it now.
fn unlisted_vms(deployment: &DeploymentState, view: &View) -> Vec<UnlistedVm> {
    let is_up = |member: &&Member| matches!(view.state_of(member), MemberState::Alive | MemberState::Suspect);
    let is_listed = |vm: &VmName| vm == view.local_vm() || deployment.vm(vm).is_some();
    let heard = view.members().filter(|member| member.heard_at.is_some());
    let unlisted = heard.filter(is_up).map(|member| &member.record);
    let unlisted = unlisted.filter(|record| !is_listed(&record.vm)).filter_map(|record| {
        Some(UnlistedVm {
            vm: record.vm.clone(),
            domain: record.domain.clone(),
            addr: record.addr?,
        })
    });
    unlisted.collect()
}

/// Passes the VM list to the membership protocol and applies its view; returns the live VMs and the number of VMs that
/// share limits.
fn update_membership(node: &Arc<GatewayNode>, now: Instant) -> (Vec<VmName>, u32) {
    let deployment = lock(&node.deployment);
    let mut membership = lock(&node.membership);
    if deployment.has_read(Feed::Vms) {
        let list = VmList {
            vms: deployment
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
        if node.replace_list(&list) {
            let region = deployment.vms().filter(|vm| vm.region == node.cfg.region);
            let region = region.map(|vm| (vm.vm.clone(), vm.domain.clone()));
            node.relay.set_vms(region.collect(), now);
            membership.on_list(now, &list);
        }
    }
    let view = membership.view();
    let is_usable = |vm: &VmName| matches!(view.state(vm), Some(MemberState::Alive)) && !node.is_this_vm_leaving(vm);
    let mut alive: Vec<VmName> = Vec::new();
    let mut callers: Vec<(RegionName, SocketAddr)> = Vec::new();
    for vm in deployment.vms().filter(|vm| is_usable(&vm.vm)) {
        alive.push(vm.vm.clone());
        callers.push((vm.region.clone(), vm.callers));
    }
    let is_region_peer = |vm: &AnnouncedVm| vm.region == node.cfg.region && vm.vm != node.cfg.vm;
    let tunnel_vms = deployment.vms().filter(|vm| vm.vm != node.cfg.vm && is_usable(&vm.vm));
    let tunnel_vms = tunnel_vms.map(|vm| TunnelVm {
        vm: vm.vm.clone(),
        region: vm.region.clone(),
        addr: vm.peers,
    });
    node.gateway
        .paths()
        .set_tunnel_vms(&node.cfg.region, tunnel_vms.collect());
    let has_region_peers = deployment.vms().any(|vm| is_region_peer(vm) && is_usable(&vm.vm));
    node.relay.set_no_live_peers(!has_region_peers);
    let dead = deployment
        .vms()
        .filter(|vm| view.state(&vm.vm) == Some(MemberState::Dead));
    let dead: Vec<VmName> = dead.map(|vm| vm.vm.clone()).collect();
    let own = node.announced();
    if node.cfg.lookups == LookupMode::Domain {
        let others = deployment.vms().filter(|vm| vm.vm != own.vm && is_usable(&vm.vm));
        let own = (!node.gateway.is_leaving()).then_some(&own);
        node.set_lookup_vms(others.chain(own));
    }
    // A restarted VM whose entry is unchanged need not write it again.
    let is_listed = deployment.vm(&own.vm) == Some(&own) && deployment.is_vm_stored(&own.vm);
    let is_own_entry_missing = deployment.has_read(Feed::Vms) && !is_listed && !node.gateway.is_leaving();
    if !alive.contains(&own.vm) && !node.gateway.is_leaving() {
        alive.push(own.vm);
        callers.push((own.region, own.callers));
    }
    let listed = deployment.vms().count().max(1);
    if deployment.has_read(Feed::Vms) {
        let is_own = |vm: &VmName| *vm == node.cfg.vm && !node.gateway.is_leaving();
        let admitting = admitting_vms(deployment.vms(), |vm| is_own(vm) || is_usable(vm));
        let limits = node.gateway.limits();
        limits.with(|limits| limits.set_vms(now, &admitting, listed));
    }
    let lost = deployment.lost_vms(deployment.entry_return(), now);
    let revived = deployment.revived_vms();
    // The lists of VMs that can read the store agree sooner if each follows the store alone.
    let max_age_ms = node.gateway.bounds().settings_in_force.as_millis() as u64;
    let is_current = node
        .relay
        .age_ms(Feed::Settings, now)
        .is_some_and(|ms| ms <= max_age_ms);
    let unlisted = if is_current {
        Vec::new()
    } else {
        unlisted_vms(&deployment, view)
    };
    drop(membership);
    drop(deployment);
    node.set_unlisted_vms(unlisted);
    let mut stale = lock(&node.stale_vms);
    let mut due = stale.due(node.gateway.vm(), &alive, dead, now);
    // Only the VMs that read the store see these.
    due.extend(revived.into_iter().filter(|vm| stale.claim_attempt(vm, now)));
    let is_first = alive.iter().min() == Some(node.gateway.vm());
    let lost = lost
        .into_iter()
        .filter(|vm| is_first && stale.claim_attempt(&vm.vm, now));
    let lost = lost.collect();
    let should_announce = is_own_entry_missing && stale.claim_attempt(node.gateway.vm(), now);
    drop(stale);
    update_vm_list(node, due, lost, should_announce);
    node.set_vms(alive.len(), listed, callers);
    (alive, node.sharing_vms())
}

#[cfg(test)]
#[path = "../../tests/unit/member_loop.rs"]
mod tests;
