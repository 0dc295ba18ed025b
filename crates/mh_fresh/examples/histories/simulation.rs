//! Discrete-event simulation of several VMs, a table and the network between them, with a simulated clock.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use mh_fresh::ChangesSince;
use mh_fresh::prelude::*;
use mh_types::{DomainName, Incarnation, Revision, VmName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

pub const BOUND: Duration = Duration::from_secs(2);
const BOUND_MS: u64 = 2000;
const TICK_MS: u64 = 50;
const RESPONSE_TIMEOUT_MS: u64 = 500;
const COMMIT_TIMEOUT_MS: u64 = 700;
const LOG_LENGTH: usize = 4;

/// Failure domain and region of a VM, and whether it is in the initial roster.
#[derive(Clone, Copy)]
pub struct VmPlacement {
    pub domain: usize,
    pub region: usize,
    pub in_roster: bool,
}

/// A settings change; only roster changes have content.
#[derive(Clone)]
pub struct Change {
    pub roster: Option<Roster>,
}

/// Settings change that an operator submits through a VM.
#[derive(Clone, Copy)]
pub enum Operation {
    Plain,
    Add(usize),
    Remove(usize),
}

#[derive(Clone)]
enum Body {
    Request(FetchRequest),
    Report(Box<Report>, Option<u64>),
    Changes(Vec<(Revision, Change)>),
    Snapshot(Revision, Roster),
    NoChanges,
    Head(Revision),
    Commit { id: u64, expect: Revision, change: Change },
    Committed { id: u64, committed: bool },
}

#[derive(Clone)]
struct Msg {
    /// Sender and receiver, as VM indices; the table has the index after the last VM.
    from: usize,
    to: usize,
    /// Incarnation of the requesting VM and time of its request; a response repeats both.
    incarnation: u64,
    requested_at: u64,
    body: Body,
}

enum Event {
    Deliver(Msg),
    Tick(usize, u64),
    Timeout { vm: usize, incarnation: u64, seq: u64 },
    CommitTimeout { vm: usize, incarnation: u64, id: u64 },
}

/// One VM process.
pub struct Vm {
    pub name: VmName,
    pub placement: VmPlacement,
    pub alive: bool,
    pub incarnation: u64,
    pub paused_until: u64,
    pub tracker: FreshnessTracker,
    /// Time of the newest head read that reached this VM, for the simple lease.
    pub lease_at: Option<u64>,
    planner: FetchPlanner,
    log: ChangeLog<Change>,
    gate: FreshnessGate,
    pending_requests: HashMap<u64, (usize, FetchRequest)>,
    /// Commits without a reply, by id: expected revision, change, and whether the outcome was reported as unknown.
    commits: HashMap<u64, (Revision, Change, bool)>,
}

/// Faults of the network and the table.
#[derive(Clone, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub extra_delay_ms: u64,
    pub table_down: bool,
    pub table_delay_ms: u64,
    pub table_reply_loss: f64,
}

/// Counters of one run.
#[derive(Default, Clone)]
pub struct Counts {
    /// Reads that reached the table's address, answered or not.
    pub table_reads: u64,
    pub msgs: u64,
    /// Bytes of reports and report requests sent and received, by VM; counted when `count_bytes` is set.
    pub bytes: Vec<u64>,
    pub msgs_by_vm: Vec<u64>,
    pub commits: u64,
    pub accepted: u64,
    pub current_checks: u64,
}

/// Simulated fleet with its table and network; times are in milliseconds.
pub struct Simulation {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub faults: Faults,
    pub counts: Counts,
    pub count_bytes: bool,
    /// Directed links between domains that drop every message; the table has the index after the last domain.
    pub blocked_links: HashSet<(usize, usize)>,
    /// When a majority first held each revision simultaneously; `None` until then.
    pub accepted_at: Vec<Option<u64>>,
    pub committed_at: Vec<u64>,
    pub violations: Vec<String>,
    pub rng: StdRng,
    origin: Instant,
    queue: BTreeMap<(u64, u64), Event>,
    seq: u64,
    domains: usize,
    table_region: usize,
    rosters: BTreeMap<Revision, Roster>,
    changes: Vec<Change>,
    /// Whether each commit was written, by its id.
    commit_outcomes: HashMap<u64, bool>,
    /// Whether the current event raised the revision that a VM holds.
    revision_applied: bool,
}

pub fn vm_name(index: usize) -> VmName {
    format!("vm-{index:04}").into()
}

pub fn domain_name(index: usize) -> DomainName {
    format!("domain-{index:02}").into()
}

impl Simulation {
    pub fn new(seed: u64, placements: &[VmPlacement]) -> Self {
        let members = placements
            .iter()
            .enumerate()
            .filter(|(_, placement)| placement.in_roster);
        let roster = Roster::new(
            Revision(1),
            members.map(|(index, placement)| (vm_name(index), domain_name(placement.domain))),
        );
        let domains = placements
            .iter()
            .map(|placement| placement.domain)
            .max()
            .map_or(0, |max| max + 1);
        let mut sim = Self {
            now: 60_000,
            vms: Vec::new(),
            faults: Faults::default(),
            counts: Counts {
                bytes: vec![0; placements.len()],
                msgs_by_vm: vec![0; placements.len()],
                ..Counts::default()
            },
            count_bytes: false,
            blocked_links: HashSet::new(),
            accepted_at: vec![Some(0), Some(0)],
            committed_at: vec![0, 0],
            violations: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            origin: Instant::now(),
            queue: BTreeMap::new(),
            seq: 0,
            domains,
            table_region: 0,
            changes: vec![
                Change { roster: None },
                Change {
                    roster: Some(roster.clone()),
                },
            ],
            rosters: [(Revision(1), roster)].into(),
            commit_outcomes: HashMap::new(),
            revision_applied: false,
        };
        for (index, &placement) in placements.iter().enumerate() {
            let vm = sim.new_vm(index, placement, 1);
            sim.vms.push(vm);
            let first = sim.rng.random_range(0..TICK_MS);
            sim.schedule(sim.now + first, Event::Tick(index, 1));
        }
        sim
    }

    pub fn at(&self, ms: u64) -> Instant {
        self.origin + Duration::from_millis(ms)
    }

    pub fn head(&self) -> Revision {
        Revision(self.changes.len() as u64 - 1)
    }

    /// Whether VM `index` serves keyed requests now.
    pub fn is_current(&self, index: usize) -> bool {
        let vm = &self.vms[index];
        vm.alive && vm.paused_until <= self.now && vm.tracker.status(self.at(self.now)).is_current()
    }

    pub fn kill(&mut self, index: usize) {
        self.vms[index].alive = false;
    }

    /// Restarts VM `index` with the initial roster.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.vms[index].incarnation + 1;
        self.vms[index] = self.new_vm(index, self.vms[index].placement, incarnation);
        self.schedule(self.now + 1, Event::Tick(index, incarnation));
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.vms[index].paused_until = self.now + ms;
    }

    /// Blocks the links between domain `a` and every domain in `others`, in both directions.
    pub fn isolate(&mut self, a: usize, others: impl IntoIterator<Item = usize>) {
        for b in others {
            self.blocked_links.extend([(a, b), (b, a)]);
        }
    }

    pub fn table_domain(&self) -> usize {
        self.domains
    }

    /// Submits an operator's commit through VM `index`; returns whether the VM sent it.
    pub fn submit(&mut self, index: usize, op: Operation) -> bool {
        let vm = &self.vms[index];
        let expect = vm.tracker.held();
        if !vm.alive || vm.paused_until > self.now || expect == Revision::ZERO || !vm.commits.is_empty() {
            return false;
        }
        let roster = vm.tracker.roster();
        let roster = match op {
            Operation::Plain => Ok(None),
            Operation::Add(who) => roster
                .add(expect.next(), vm_name(who), domain_name(self.vms[who].placement.domain))
                .map(Some),
            Operation::Remove(who) => roster.remove(expect.next(), &vm_name(who)).map(Some),
        };
        let Ok(roster) = roster else { return false };
        self.seq += 1;
        let id = self.seq;
        self.vms[index].commits.insert(id, (expect, Change { roster }, false));
        self.send_commit(index, id);
        true
    }

    pub fn run_until(&mut self, ms: u64) {
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= ms) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = ms;
    }

    fn new_vm(&self, index: usize, placement: VmPlacement, incarnation: u64) -> Vm {
        Vm {
            name: vm_name(index),
            placement,
            alive: true,
            incarnation,
            paused_until: 0,
            tracker: FreshnessTracker::new(
                vm_name(index),
                Incarnation(incarnation),
                BOUND,
                self.rosters[&Revision(1)].clone(),
            ),
            lease_at: None,
            planner: FetchPlanner::new(FetchConfig::for_bound(BOUND)),
            log: ChangeLog::new(LOG_LENGTH),
            gate: FreshnessGate::new(self.origin),
            pending_requests: HashMap::new(),
            commits: HashMap::new(),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    fn placement(&self, index: usize) -> (usize, usize) {
        self.vms.get(index).map_or((self.domains, self.table_region), |vm| {
            (vm.placement.domain, vm.placement.region)
        })
    }

    fn send(&mut self, msg: &Msg) {
        let ((from_domain, from_region), (to_domain, to_region)) = (self.placement(msg.from), self.placement(msg.to));
        self.counts.msgs += 1;
        let table = self.vms.len();
        if self.count_bytes {
            let bytes = msg_bytes(&msg.body);
            for index in [msg.from, msg.to].into_iter().filter(|&index| index != table) {
                self.counts.bytes[index] += bytes;
                self.counts.msgs_by_vm[index] += 1;
            }
        }
        if self.blocked_links.contains(&(from_domain, to_domain)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        if msg.from == table && self.rng.random_bool(self.faults.table_reply_loss) {
            return;
        }
        let base = if from_region == to_region { 1 } else { 12 };
        let table_delay = if msg.to == table { self.faults.table_delay_ms } else { 0 };
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let delay = base + table_delay + self.rng.random_range(0..=self.faults.extra_delay_ms);
            self.schedule(self.now + delay, Event::Deliver(msg.clone()));
        }
    }

    fn send_commit(&mut self, index: usize, id: u64) {
        let Some((expect, change, _)) = self.vms[index].commits.get(&id).cloned() else {
            return;
        };
        let incarnation = self.vms[index].incarnation;
        let body = Body::Commit { id, expect, change };
        self.send(&Msg {
            from: index,
            to: self.vms.len(),
            incarnation,
            requested_at: self.now,
            body,
        });
        self.schedule(
            self.now + COMMIT_TIMEOUT_MS,
            Event::CommitTimeout {
                vm: index,
                incarnation,
                id,
            },
        );
    }

    fn handle(&mut self, event: Event) {
        let vm = match &event {
            Event::Deliver(msg) if msg.to == self.vms.len() => return self.on_table(event),
            Event::Deliver(msg) => msg.to,
            Event::Tick(vm, _) | Event::Timeout { vm, .. } | Event::CommitTimeout { vm, .. } => *vm,
        };
        if self.vms[vm].alive && self.vms[vm].paused_until > self.now {
            // A paused process receives its messages and timers when it resumes.
            let wake = self.vms[vm].paused_until;
            return self.schedule(wake, event);
        }
        let incarnation = self.vms[vm].incarnation;
        if !self.vms[vm].alive {
            return;
        }
        // A request that arrived during a pause is checked against the gate before the control task runs.
        self.check(vm);
        match event {
            Event::Deliver(msg) => self.on_msg(vm, msg),
            Event::Tick(_, of) if of == incarnation => self.on_tick(vm),
            Event::Timeout {
                incarnation: of, seq, ..
            } if of == incarnation => {
                let Some((peer, request)) = self.vms[vm].pending_requests.remove(&seq) else {
                    return;
                };
                self.on_timeout(vm, peer, &request);
            }
            Event::CommitTimeout {
                incarnation: of, id, ..
            } if of == incarnation => {
                if let Some((expect, _, reported_unknown)) = self.vms[vm].commits.get_mut(&id) {
                    let (revision, first) = (expect.next(), !std::mem::replace(reported_unknown, true));
                    if first {
                        self.vms[vm].tracker.on_commit_unknown(revision);
                    }
                    self.send_commit(vm, id);
                }
            }
            _ => return,
        }
        let now = self.at(self.now);
        self.vms[vm].gate.publish(self.vms[vm].tracker.current_until(now));
        if std::mem::take(&mut self.revision_applied) {
            self.record_accepted();
        }
        self.check(vm);
    }

    fn on_tick(&mut self, index: usize) {
        let (now, rnd) = (self.at(self.now), self.rng.random());
        let vm = &mut self.vms[index];
        let incarnation = vm.incarnation;
        for request in vm.planner.plan(now, &vm.tracker, rnd) {
            let to = match &request {
                FetchRequest::Head
                | FetchRequest::Changes {
                    from: ChangeSource::Table,
                    ..
                } => self.vms.len(),
                FetchRequest::Report { peer, .. }
                | FetchRequest::Changes {
                    from: ChangeSource::Peer(peer),
                    ..
                } => index_of(peer),
            };
            self.seq += 1;
            let seq = self.seq;
            self.vms[index].pending_requests.insert(seq, (to, request.clone()));
            self.schedule(
                self.now + RESPONSE_TIMEOUT_MS,
                Event::Timeout {
                    vm: index,
                    incarnation,
                    seq,
                },
            );
            self.send(&Msg {
                from: index,
                to,
                incarnation,
                requested_at: self.now,
                body: Body::Request(request),
            });
        }
        self.schedule(self.now + TICK_MS, Event::Tick(index, incarnation));
    }

    fn on_timeout(&mut self, index: usize, peer: usize, request: &FetchRequest) {
        let (now, rnd) = (self.at(self.now), self.rng.random());
        let planner = &mut self.vms[index].planner;
        if let FetchRequest::Changes { from, .. } = request {
            planner.on_no_changes(from);
        }
        if matches!(
            request,
            FetchRequest::Head
                | FetchRequest::Changes {
                    from: ChangeSource::Table,
                    ..
                }
        ) {
            planner.on_table_failure(now, rnd);
        } else {
            planner.on_no_response(now, &vm_name(peer));
        }
    }

    fn on_msg(&mut self, index: usize, msg: Msg) {
        let now = self.at(self.now);
        if let Body::Request(request) = &msg.body {
            if let FetchRequest::Report { scope, .. } = request {
                self.vms[index].planner.on_report_request(now, *scope);
            }
            let body = self.respond(index, request);
            return self.send(&Msg {
                from: index,
                to: msg.from,
                incarnation: msg.incarnation,
                requested_at: msg.requested_at,
                body,
            });
        }
        let requested_at = self.at(msg.requested_at);
        let vm = &mut self.vms[index];
        if msg.incarnation != vm.incarnation {
            return;
        }
        vm.pending_requests
            .retain(|_, (peer, request)| *peer != msg.from || !is_response_to(request, &msg.body));
        let before = vm.tracker.held();
        match msg.body {
            Body::Report(report, lease_at) => {
                vm.tracker.on_report(requested_at, now, &report);
                vm.planner.on_response(&report.vm, report.holding.held);
                vm.lease_at = vm.lease_at.max(lease_at);
            }
            Body::Head(revision) => {
                vm.tracker.on_head_read(requested_at, revision);
                vm.planner.on_table_read();
                vm.lease_at = vm.lease_at.max(Some(msg.requested_at));
            }
            Body::Changes(changes) => {
                for (revision, change) in changes {
                    if revision == vm.tracker.held().next() {
                        vm.log.push(revision, change.clone());
                        vm.tracker.on_apply(now, revision, change.roster);
                    }
                }
            }
            Body::Snapshot(revision, roster) => {
                vm.log.reset(revision);
                vm.tracker.on_apply(now, revision, Some(roster));
            }
            Body::NoChanges => vm.planner.on_no_changes(&ChangeSource::Peer(vm_name(msg.from))),
            Body::Committed { id, committed } => {
                let Some((expect, change, reported_unknown)) = vm.commits.remove(&id) else {
                    return;
                };
                if reported_unknown {
                    vm.tracker.on_commit_resolved(expect.next(), committed);
                }
                if committed && vm.tracker.held() == expect {
                    vm.log.push(expect.next(), change.clone());
                    vm.tracker.on_apply(now, expect.next(), change.roster);
                }
            }
            Body::Request(_) | Body::Commit { .. } => {}
        }
        self.revision_applied |= self.vms[index].tracker.held() > before;
        if self.vms[index].tracker.held() < before {
            self.violations.push(format!(
                "{} ms: {} went back to an older revision than {before}",
                self.now, self.vms[index].name
            ));
        }
    }

    fn respond(&self, index: usize, request: &FetchRequest) -> Body {
        let vm = &self.vms[index];
        match request {
            FetchRequest::Report { scope, .. } => {
                Body::Report(Box::new(vm.tracker.report_for(self.at(self.now), *scope)), vm.lease_at)
            }
            FetchRequest::Changes { since, .. } if vm.tracker.held() > *since => match vm.log.since(*since) {
                ChangesSince::Changes(changes) if *since > Revision::ZERO => Body::Changes(
                    changes
                        .into_iter()
                        .map(|(revision, change)| (revision, change.clone()))
                        .collect(),
                ),
                _ => Body::Snapshot(vm.tracker.held(), vm.tracker.roster().clone()),
            },
            _ => Body::NoChanges,
        }
    }

    fn on_table(&mut self, event: Event) {
        let Event::Deliver(msg) = event else { return };
        self.counts.table_reads += u64::from(matches!(msg.body, Body::Request(_)));
        if self.faults.table_down {
            return;
        }
        let body = match msg.body {
            Body::Request(FetchRequest::Changes { since, .. }) => {
                let roster = self.rosters.values().next_back().cloned();
                match roster {
                    Some(roster) if since == Revision::ZERO => Body::Snapshot(self.head(), roster),
                    _ => Body::Changes(
                        (since.0 + 1..=self.head().0)
                            .map(|n| (Revision(n), self.changes[n as usize].clone()))
                            .collect(),
                    ),
                }
            }
            Body::Request(_) => Body::Head(self.head()),
            Body::Commit { id, expect, change } => {
                let head = self.head();
                let committed = *self.commit_outcomes.entry(id).or_insert(expect == head);
                if committed && expect == head {
                    self.counts.commits += 1;
                    if let Some(roster) = &change.roster {
                        self.rosters.insert(head.next(), roster.clone());
                    }
                    self.changes.push(change);
                    self.accepted_at.push(None);
                    self.committed_at.push(self.now);
                }
                Body::Committed { id, committed }
            }
            _ => return,
        };
        self.send(&Msg {
            from: self.vms.len(),
            to: msg.from,
            incarnation: msg.incarnation,
            requested_at: msg.requested_at,
            body,
        });
    }

    /// Records which revisions a majority holds at this moment, from the actual state of every VM.
    fn record_accepted(&mut self) {
        let first = self
            .accepted_at
            .iter()
            .rposition(Option::is_some)
            .map_or(1, |index| index + 1);
        for n in first..self.accepted_at.len() {
            let Some((&changed, roster)) = self.rosters.range(..=Revision(n as u64)).next_back() else {
                continue;
            };
            let holds = |name: &&VmName| {
                let vm = &self.vms[index_of(name)];
                vm.alive && vm.tracker.held().0 >= n as u64
            };
            let majority =
                |members: &BTreeMap<VmName, DomainName>| members.keys().filter(holds).count() > members.len() / 2;
            let settled = self.accepted_at[changed.0 as usize].is_some();
            let joint = settled || roster.previous().is_none_or(majority);
            if joint && majority(roster.members()) {
                self.accepted_at[n] = Some(self.now);
                self.counts.accepted += 1;
            }
        }
        // Acceptance of a revision implies acceptance of all earlier ones.
        let mut later = None;
        for at in self.accepted_at.iter_mut().rev() {
            if later.is_some() && at.is_none() {
                *at = later;
            }
            later = at.or(later);
        }
    }

    fn check(&mut self, index: usize) {
        let (now, vm) = (self.at(self.now), &self.vms[index]);
        let accepted = vm.tracker.report_for(now, ReportScope::Own).accepted;
        if self.accepted_at[accepted.0 as usize].is_none() && accepted.0 > 1 {
            self.violations.push(format!(
                "{} ms: {} reports {accepted} as accepted, but no majority held it",
                self.now, vm.name
            ));
        }
        let open = vm.gate.is_open(now);
        if !open && !vm.tracker.status(now).is_current() {
            return;
        }
        self.counts.current_checks += 1;
        if let Some(missed_revision) = self.missed_revision(index) {
            let (name, held) = (&vm.name, vm.tracker.held());
            self.violations.push(format!(
                "{} ms: {name} is current at {held} but misses {missed_revision}",
                self.now
            ));
        }
    }

    /// Returns a revision that VM `index` does not hold although it was accepted longer ago than the bound.
    pub fn missed_revision(&self, index: usize) -> Option<u64> {
        let held = self.vms[index].tracker.held().0 as usize;
        (held + 1..self.accepted_at.len())
            .find(|&n| self.accepted_at[n].is_some_and(|at| at + BOUND_MS < self.now))
            .map(|n| n as u64)
    }
}

fn index_of(vm: &VmName) -> usize {
    vm.as_str()["vm-".len()..].parse().expect("names are made by vm_name")
}

fn is_response_to(request: &FetchRequest, body: &Body) -> bool {
    match request {
        FetchRequest::Head => matches!(body, Body::Head(_)),
        FetchRequest::Report { .. } => matches!(body, Body::Report(..)),
        FetchRequest::Changes { .. } => matches!(body, Body::Changes(_) | Body::Snapshot(..) | Body::NoChanges),
    }
}

/// Returns the size of a report; a report request counts as 32 bytes, settings and table traffic as zero.
fn msg_bytes(body: &Body) -> u64 {
    match body {
        Body::Report(report, _) => report.to_bytes().len() as u64,
        Body::Request(FetchRequest::Report { .. }) => 32,
        _ => 0,
    }
}
