use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use mh_limit::LimitVm;
use mh_member::{Member, MemberState, View, VmList, VmListEntry};
use mh_path::TunnelVm;
use mh_types::{DomainName, Event, RegionName, VmName, emit};
use std::net::SocketAddr;
use tokio::time::{Instant, MissedTickBehavior};

use super::datagram::decode;
use super::limit_messages::admitting_vms;
use super::shift_writer::run_shifts;
use super::stale_vms::update_vm_list;
use super::{ControlState, Datagram, DeploymentState, QuotaController};
use crate::SuspendDetector;
use crate::node::{GatewayNode, UnlistedVm};
use crate::{AnnouncedVm, Feed, LookupMode};

/// Time between two ticks of the membership protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Ticks between two notices that this VM calls the store in vain. Other VMs hear several of them before they rely on
/// their own calls.
const TICKS_PER_FAILURE_NOTICE: usize = 2;

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
                if tick_count.is_multiple_of(TICKS_PER_FAILURE_NOTICE) {
                    node.repeat_failure_notice();
                }
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
            let out = node.control.lock().membership.on_msg(now, from, msg);
            node.send_membership(out);
        }
        Datagram::News(report) => node.on_reader_report(from, *report, now),
        Datagram::NoNews => node.on_reader_failed(from, now),
        Datagram::Loads(loads) => node.on_load_reports(&loads, now),
        Datagram::StatedLoads(msg) => node.on_stated_loads(from, &msg, now),
        Datagram::Lend(msgs) => {
            let out = node.control.lock().quotas.on_msgs(from, &msgs, now);
            node.send_lending(out);
        }
        Datagram::Take { number, org } => {
            let answer = node.control.lock().quotas.decide_for_peer(&org);
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
            let answer = node.control.lock().quotas.on_handover(from, &msg, now);
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
    node.relay
        .log_settings_age(node.gateway.bounds().settings_in_force, now);
    let changed = run_shifts(node, &alive, vms, now);
    if node.is_change_due(now) || changed {
        node.rebuild(now);
    }
    let out = node.control.lock().membership.on_tick(now, rand::random());
    node.send_membership(out);
    let out = node.control.lock().quotas.on_tick(now);
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
    if !node.control.lock().quotas.waits_for_handover() {
        return;
    }
    let dead = {
        let control = node.control.lock();
        let view = control.membership.view();
        let dead = view
            .members()
            .filter(|member| view.state_of(member) == MemberState::Dead);
        dead.map(|member| member.record.vm.clone()).collect::<HashSet<_>>()
    };
    let (questions, probes) = node
        .control
        .lock()
        .quotas
        .handover_questions(now, |vm| dead.contains(vm));
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
                node.control.lock().quotas.on_listed_by(&vm, Instant::now());
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
    let update = MembershipUpdate::take(node, now);
    if let Some(region_vms) = update.region_vms {
        node.relay.set_vms(region_vms, now);
    }
    let region = &node.cfg.region;
    node.relay
        .set_no_live_peers(!update.tunnel_vms.iter().any(|vm| vm.region == *region));
    node.gateway.paths().set_tunnel_vms(region, update.tunnel_vms);
    if node.cfg.lookups == LookupMode::Domain {
        node.set_lookup_vms(update.lookup_vms.iter());
    }
    if let Some(admitting) = update.admitting {
        let limits = node.gateway.limits();
        limits.with(|limits| limits.set_vms(now, &admitting, update.listed));
    }
    node.set_unlisted_vms(update.unlisted);
    update_vm_list(node, update.removable, update.lost, update.should_announce);
    node.set_vms(update.alive.len(), update.listed, update.callers);
    (update.alive, node.sharing_vms())
}

/// What the list of VMs and the view of the membership protocol say at one moment.
struct MembershipUpdate {
    /// The VMs of this VM's region, if the list changed.
    region_vms: Option<Vec<(VmName, DomainName)>>,
    alive: Vec<VmName>,
    /// Number of listed VMs, at least 1.
    listed: usize,
    /// Live VMs that accept callers.
    callers: Vec<(RegionName, SocketAddr)>,
    tunnel_vms: Vec<TunnelVm>,
    /// VMs that look-ups by failure domain return.
    lookup_vms: Vec<AnnouncedVm>,
    /// VMs that admit requests of servers with a limit; `None` before the first read of the list.
    admitting: Option<Vec<LimitVm>>,
    /// VMs that are up and missing in the list.
    unlisted: Vec<UnlistedVm>,
    /// VMs whose entries should be removed from the list.
    removable: Vec<VmName>,
    /// VMs whose entries a restore of the store lost.
    lost: Vec<AnnouncedVm>,
    /// Whether this VM should write its own entry.
    should_announce: bool,
}

impl MembershipUpdate {
    fn take(node: &GatewayNode, now: Instant) -> Self {
        let mut control = node.control.lock();
        let control = &mut *control;
        let region_vms = follow_list(node, control, now);
        let (deployment, view) = (&control.deployment, control.membership.view());
        let is_leaving = node.gateway.is_leaving();
        let is_own = |vm: &VmName| *vm == node.cfg.vm;
        let is_alive = |vm: &VmName| matches!(view.state(vm), Some(MemberState::Alive));
        let is_usable = |vm: &VmName| is_alive(vm) && !(is_leaving && is_own(vm));
        let usable: Vec<&AnnouncedVm> = deployment.vms().filter(|vm| is_usable(&vm.vm)).collect();
        let others = || usable.iter().filter(|vm| !is_own(&vm.vm));
        let own = node.announced();
        let mut alive: Vec<VmName> = usable.iter().map(|vm| vm.vm.clone()).collect();
        let mut callers: Vec<_> = usable.iter().map(|vm| (vm.region.clone(), vm.callers)).collect();
        if !alive.contains(&own.vm) && !is_leaving {
            alive.push(own.vm.clone());
            callers.push((own.region.clone(), own.callers));
        }
        let tunnel_vms = others().map(|vm| TunnelVm {
            vm: vm.vm.clone(),
            region: vm.region.clone(),
            addr: vm.peers,
        });
        let mut lookup_vms: Vec<AnnouncedVm> = Vec::new();
        if node.cfg.lookups == LookupMode::Domain {
            lookup_vms.extend(others().map(|vm| AnnouncedVm::clone(vm)));
            lookup_vms.extend((!is_leaving).then(|| own.clone()));
        }
        let has_list = deployment.has_read(Feed::Vms);
        let admitting =
            has_list.then(|| admitting_vms(deployment.vms(), |vm| (is_own(vm) && !is_leaving) || is_usable(vm)));
        // The lists of VMs that can read the store agree sooner if each follows the store alone.
        let max_age_ms = node.gateway.bounds().settings_in_force.as_millis() as u64;
        let is_current = control.age_ms(Feed::Settings, now).is_some_and(|ms| ms <= max_age_ms);
        let unlisted = if is_current {
            Vec::new()
        } else {
            unlisted_vms(deployment, view)
        };
        // A restarted VM whose entry is unchanged need not write it again.
        let is_listed = deployment.vm(&own.vm) == Some(&own) && deployment.is_vm_stored(&own.vm);
        let is_own_entry_missing = has_list && !is_listed && !is_leaving;
        let dead = deployment
            .vms()
            .filter(|vm| view.state(&vm.vm) == Some(MemberState::Dead));
        let dead: Vec<VmName> = dead.map(|vm| vm.vm.clone()).collect();
        let is_first = alive.iter().min() == Some(&own.vm);
        let stale = &mut control.stale_vms;
        let mut removable = stale.due(&own.vm, &alive, dead, now);
        // Only the VMs that read the store see these.
        let revived = deployment.revived_vms();
        removable.extend(revived.into_iter().filter(|vm| stale.claim_attempt(vm, now)));
        let lost = deployment.lost_vms(deployment.entry_return(), now).into_iter();
        let lost = lost.filter(|vm| is_first && stale.claim_attempt(&vm.vm, now)).collect();
        let should_announce = is_own_entry_missing && stale.claim_attempt(&own.vm, now);
        Self {
            region_vms,
            listed: deployment.vms().count().max(1),
            callers,
            tunnel_vms: tunnel_vms.collect(),
            lookup_vms,
            admitting,
            unlisted,
            removable,
            lost,
            should_announce,
            alive,
        }
    }
}

/// Passes a changed list of VMs to the membership protocol; returns the listed VMs of this VM's region then.
fn follow_list(node: &GatewayNode, control: &mut ControlState, now: Instant) -> Option<Vec<(VmName, DomainName)>> {
    let deployment = &control.deployment;
    if !deployment.has_read(Feed::Vms) {
        return None;
    }
    let vms = deployment.vms().map(|vm| VmListEntry {
        vm: vm.vm.clone(),
        domain: vm.domain.clone(),
        region: vm.region.clone(),
        addr: Some(vm.peers),
        leaving: false,
    });
    let list = VmList { vms: vms.collect() };
    let region_vms = deployment.vms_of_region(&node.cfg.region);
    control.replace_list(&list).then(|| {
        control.membership.on_list(now, &list);
        region_vms
    })
}

#[cfg(test)]
#[path = "../../tests/unit/member_loop.rs"]
mod tests;
