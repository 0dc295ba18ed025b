//! Simulation of a fleet of VMs, their network and the table in one process on simulated time.
#![allow(dead_code, reason = "each test and example uses only part of it")]

pub mod cap_checker;
pub mod rng;
pub mod scenario;
mod table;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cap_checker::CapChecker;
use jiff::{SignedDuration, Timestamp};
use mh_shift::{
    Change, Evidence, Fraction, Rows, Sample, Shift, ShiftSpec, Side, State, TakeBackReason, TerminalState, VmContext,
    Write, WriteId, WriteOutcome,
};
use mh_types::{DomainName, Incarnation, RouteName, ServiceName, ShiftName, VersionName, VmName};
use rng::Rng;
use scenario::{Action, Scenario, TABLE};
use table::Table;
use tokio::time::Instant;

/// Time within which every VM must learn of a stop, or lose contact and stop by itself.
const PROPAGATION_LIMIT_S: f64 = 2.0;
const TICK_US: u64 = 100_000;
/// Fraction of requests and median latency in ms of each route.
const ROUTES: [(f64, f64); 3] = [(0.5, 8.0), (0.3, 15.0), (0.2, 30.0)];

#[derive(Debug)]
enum Event {
    RequestArrival,
    RequestFinished {
        route: usize,
        domain: usize,
        side: Side,
        ok: bool,
        latency_us: u64,
    },
    Tick,
    Exchange,
    EvidenceRequest {
        from: usize,
        asked_us: u64,
    },
    EvidenceReply {
        from: usize,
        asked_us: u64,
        evidence: Box<Evidence>,
    },
    Stop(TakeBackReason),
    Outcome(WriteId, WriteOutcome),
    RowsRead(Rows),
    Restart,
    Action(Action),
    TableWrite {
        from: usize,
        incarnation: u64,
        write: Box<Write>,
        reply: bool,
    },
    TableRead {
        from: usize,
        incarnation: u64,
        read_back: Option<WriteId>,
    },
}

/// Time in µs, insertion order, VM, its incarnation or 0 for any, and index of an event.
type QueueEntry = (u64, u64, usize, u64, usize);

struct Vm {
    shift: Shift,
    incarnation: u64,
    up: bool,
    paused_until: u64,
    skew_us: i64,
    cap: CapChecker,
    reported_done: Option<bool>,
    stop_sent: bool,
}

/// Results of one simulation run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violations: Vec<String>,
    pub requests: u64,
    pub new_before_end: u64,
    /// Requests to the new version while its fault was active.
    pub faulty_requests: u64,
    /// Seconds at which the first request showed the fault.
    pub shown_s: Option<f64>,
    /// Seconds at which a VM detected the fault.
    pub detected_s: Option<f64>,
    /// Requests to the new version sent more than 2 s after the fault showed, while it was active.
    pub late_faulty_requests: u64,
    pub end: Option<TerminalState>,
    pub end_s: Option<f64>,
    pub evidence_bytes: usize,
}

pub struct Sim {
    scenario: Scenario,
    rng: Rng,
    start: Instant,
    wall: Timestamp,
    now_us: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    vms: Vec<Vm>,
    routes: Vec<RouteName>,
    domains: Vec<DomainName>,
    table: Table,
    fleet_cap: CapChecker,
    kill_next_writer_s: Option<f64>,
    report: Report,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl Sim {
    pub fn new(scenario: Scenario) -> Self {
        let mut sim = Self {
            rng: Rng(scenario.seed),
            start: Instant::now(),
            wall: "2026-12-04T12:00:00Z".parse().expect("a valid time"),
            now_us: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: vec![],
            free: vec![],
            vms: vec![],
            routes: (0..ROUTES.len())
                .map(|r| RouteName::from(format!("nets/r{r}")))
                .collect(),
            domains: (0..scenario.domains)
                .map(|d| DomainName::from(format!("d{d:02}")))
                .collect(),
            table: Table::default(),
            fleet_cap: CapChecker::default(),
            kill_next_writer_s: None,
            report: Report::default(),
            scenario,
        };
        for v in 0..sim.scenario.vms {
            let vm = Vm {
                shift: sim.shift(v, 1),
                incarnation: 1,
                up: true,
                paused_until: 0,
                skew_us: if sim.scenario.has_clock_skew {
                    sim.rng.between(-5e5, 5e5) as i64
                } else {
                    0
                },
                cap: CapChecker::default(),
                reported_done: None,
                stop_sent: false,
            };
            sim.vms.push(vm);
            sim.start_timers(v);
            let first = sim.next_arrival_us();
            sim.push(first, v, 0, Event::RequestArrival);
        }
        for (at, action) in sim.scenario.actions.clone() {
            let v = match action {
                Action::Kill { vm, .. } | Action::Pause { vm, .. } | Action::TakeBack { vm } => vm,
                Action::KillWriter { .. } => 0,
            };
            sim.push(micros(at), v, 0, Event::Action(action));
        }
        sim
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Report {
        while let Some(Reverse((at, _, v, incarnation, slot))) = self.queue.pop() {
            if at > micros(self.scenario.end_s) {
                break;
            }
            self.now_us = at;
            self.free.push(slot);
            let Some(event) = self.events[slot].take() else {
                continue;
            };
            if v != TABLE {
                let vm = &self.vms[v];
                let control = matches!(event, Event::Action(_) | Event::Restart);
                if incarnation != 0 && incarnation != vm.incarnation {
                    continue;
                }
                if !control && vm.paused_until > at {
                    let wait = vm.paused_until - at;
                    self.push(wait, v, incarnation, event);
                    continue;
                }
            }
            self.handle(v, event);
        }
        self.finish()
    }

    fn handle(&mut self, v: usize, event: Event) {
        let now = self.now();
        match event {
            Event::RequestArrival => self.arrive(v),
            Event::RequestFinished {
                route,
                domain,
                side,
                ok,
                latency_us,
            } => self.vms[v].shift.observe(&Sample {
                route: &self.routes[route],
                side,
                domain: &self.domains[domain],
                ok,
                latency: Duration::from_micros(latency_us),
            }),
            Event::Tick => {
                self.tick(v);
                self.push(TICK_US, v, self.vms[v].incarnation, Event::Tick);
            }
            Event::Exchange => {
                for to in (0..self.scenario.vms).filter(|to| *to != v) {
                    let asked_us = self.now_us;
                    self.send(v, to, &|| Event::EvidenceRequest { from: v, asked_us });
                }
                self.send_table(
                    v,
                    Event::TableRead {
                        from: v,
                        incarnation: self.vms[v].incarnation,
                        read_back: None,
                    },
                );
                self.push(
                    micros(self.scenario.exchange_s),
                    v,
                    self.vms[v].incarnation,
                    Event::Exchange,
                );
            }
            Event::EvidenceRequest { from, asked_us } if self.vms[v].up => {
                let evidence = self.vms[v].shift.evidence();
                self.report.evidence_bytes = evidence.wire_bytes();
                self.send(v, from, &|| Event::EvidenceReply {
                    from: v,
                    asked_us,
                    evidence: Box::new(evidence.clone()),
                });
            }
            Event::EvidenceReply {
                from,
                asked_us,
                evidence,
            } if self.vms[v].up => {
                let asked_at = self.start + Duration::from_micros(asked_us);
                let from = VmName::from(format!("vm{from}"));
                self.vms[v].shift.merge(now, asked_at, &from, &evidence);
                self.broadcast_stop(v);
            }
            Event::Stop(reason) if self.vms[v].up => {
                self.vms[v].shift.on_stop(reason);
                self.broadcast_stop(v);
            }
            Event::Outcome(id, outcome) => self.vms[v].shift.on_outcome(now, &id, outcome),
            Event::RowsRead(rows) => self.vms[v].shift.on_rows(now, rows),
            Event::Restart => {
                self.vms[v].incarnation += 1;
                self.vms[v].up = true;
                self.vms[v].cap = CapChecker::default();
                self.vms[v].stop_sent = false;
                self.vms[v].shift = self.shift(v, self.vms[v].incarnation);
                self.start_timers(v);
            }
            Event::Action(action) => self.apply_action(action),
            Event::TableWrite {
                from,
                incarnation,
                write,
                reply,
            } => self.table_write(from, incarnation, *write, reply),
            Event::TableRead {
                from,
                incarnation,
                read_back,
            } if self.outage_end().is_none() && !self.is_link_cut(TABLE, from) => {
                let event = match read_back {
                    Some(id) => Event::Outcome(id.clone(), self.table.outcome(&id)),
                    None => Event::RowsRead(self.table.rows.clone()),
                };
                self.push(12_000, from, incarnation, event);
            }
            _ => {}
        }
        if v != TABLE {
            self.check_reported_end(v);
        }
    }

    fn arrive(&mut self, v: usize) {
        let next = self.next_arrival_us();
        self.push(next, v, 0, Event::RequestArrival);
        if !self.vms[v].up {
            return;
        }
        let draw = self.rng.unit();
        let route = if draw < ROUTES[0].0 {
            0
        } else if draw < ROUTES[0].0 + ROUTES[1].0 {
            1
        } else {
            2
        };
        let home = v % self.scenario.domains;
        let domain = if self.rng.chance(0.9) {
            home
        } else {
            self.rng.below(self.scenario.domains)
        };
        let side = self.vms[v].shift.pick(self.now(), &self.routes[route]);
        let seconds = self.now_us as f64 / 1e6;
        self.report.requests += 1;
        self.check_pick(v, side);
        let (ok, latency_us) = self.serve(route, domain, side, seconds);
        let incarnation = self.vms[v].incarnation;
        self.push(
            latency_us,
            v,
            incarnation,
            Event::RequestFinished {
                route,
                domain,
                side,
                ok,
                latency_us,
            },
        );
    }

    fn serve(&mut self, route: usize, domain: usize, side: Side, seconds: f64) -> (bool, u64) {
        let mut errors = self.scenario.base_errors[route];
        let mut ms = ROUTES[route].1 * (0.4 * self.rng.normal()).exp();
        for t in self.scenario.domain_faults.iter().filter(|t| t.domain == domain) {
            if (t.from_s..t.to_s).contains(&seconds) {
                errors = 1.0 - (1.0 - errors) * (1.0 - t.errors);
                ms *= t.slow;
            }
        }
        if side == Side::New
            && let Some(bad) = &self.scenario.version_fault
            && seconds >= bad.from_s
            && (bad.min_share == Fraction::ZERO || self.vms.iter().any(|v| v.shift.selector().share() >= bad.min_share))
            && bad.route.is_none_or(|r| r == route)
        {
            self.report.faulty_requests += 1;
            let failed = self.rng.chance(bad.errors);
            ms *= bad.slow.max(1.0);
            if failed || bad.slow > 1.0 {
                self.report.shown_s.get_or_insert(seconds + ms / 1e3);
            }
            if self.report.shown_s.is_some_and(|s| seconds > s + 2.0) {
                self.report.late_faulty_requests += 1;
            }
            errors = if failed { 1.0 } else { errors };
        }
        (!self.rng.chance(errors), (ms * 1e3) as u64)
    }

    fn check_pick(&mut self, v: usize, side: Side) {
        let new = side == Side::New;
        let cap = self.scenario.cap;
        let vm = &mut self.vms[v];
        if matches!(vm.shift.state(), State::Done(_)) {
            return;
        }
        self.report.new_before_end += u64::from(new);
        let mut violations = vec![];
        if !vm.cap.count(new, cap) {
            violations.push("a VM is over the cap");
        }
        if !self.fleet_cap.count_total(new, cap) {
            violations.push("the fleet is over the cap");
        }
        if new && self.now_us > micros(self.scenario.deadline_s) {
            violations.push("new version used past the deadline without Done");
        }
        if new && (vm.shift.stop_reason().is_some() || matches!(vm.shift.state(), State::TakenBack(_))) {
            violations.push("new version used after a stop");
        }
        let since = |at: Option<f64>| at.is_some_and(|s| self.now_us > micros(s + PROPAGATION_LIMIT_S));
        if new && since(self.report.end_s) && self.report.end != Some(TerminalState::Done) {
            violations.push("new version used long after the shift was taken back");
        }
        if new && since(self.report.detected_s) {
            violations.push("new version used long after a fault was detected");
        }
        for w in violations {
            self.violation(w);
        }
    }

    fn tick(&mut self, v: usize) {
        let (now, wall) = (self.now(), self.wall_of(v));
        self.vms[v].shift.evaluate(now, wall);
        self.broadcast_stop(v);
        let incarnation = self.vms[v].incarnation;
        let writes = self.vms[v].shift.writes(now, wall);
        let read_back = self.vms[v].shift.read_backs(now);
        for write in writes {
            if write.not_after.is_some_and(|at| wall > at) {
                continue;
            }
            let reply = !self.rng.chance(self.scenario.reply_loss_rate);
            let end = matches!(write.change, Change::End(_));
            self.send_table(
                v,
                Event::TableWrite {
                    from: v,
                    incarnation,
                    write: Box::new(write),
                    reply,
                },
            );
            if end && let Some(for_s) = self.kill_next_writer_s.take() {
                self.apply_action(Action::Kill { vm: v, for_s });
                return;
            }
        }
        if self.vms[v].shift.needs_rows(now) {
            self.send_table(
                v,
                Event::TableRead {
                    from: v,
                    incarnation,
                    read_back: None,
                },
            );
        }
        for id in read_back {
            self.send_table(
                v,
                Event::TableRead {
                    from: v,
                    incarnation,
                    read_back: Some(id),
                },
            );
        }
    }

    fn broadcast_stop(&mut self, v: usize) {
        let Some(reason) = self.vms[v].shift.stop_reason().cloned() else {
            return;
        };
        if std::mem::replace(&mut self.vms[v].stop_sent, true) {
            return;
        }
        if matches!(reason, TakeBackReason::Fault(_)) {
            self.report.detected_s.get_or_insert(self.now_us as f64 / 1e6);
        }
        for to in (0..self.scenario.vms).filter(|to| *to != v) {
            self.send(v, to, &|| Event::Stop(reason.clone()));
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Kill { vm, for_s } => {
                self.vms[vm].up = false;
                self.vms[vm].incarnation += 1;
                self.push(micros(for_s), vm, 0, Event::Restart);
            }
            Action::Pause { vm, for_s } => self.vms[vm].paused_until = self.now_us + micros(for_s),
            Action::TakeBack { vm } if self.vms[vm].up => {
                self.vms[vm].shift.take_back();
                self.broadcast_stop(vm);
            }
            Action::TakeBack { .. } => {}
            Action::KillWriter { for_s } => self.kill_next_writer_s = Some(for_s),
        }
    }

    fn table_write(&mut self, from: usize, incarnation: u64, write: Write, reply: bool) {
        if let Some(end) = self.outage_end() {
            // A write that arrives in an outage is lost, or takes effect late without a reply.
            if self.rng.chance(0.5) {
                let late = end - self.now_us + 1 + micros(self.rng.between(0.0, 0.5));
                self.push(
                    late,
                    TABLE,
                    0,
                    Event::TableWrite {
                        from,
                        incarnation,
                        write: Box::new(write),
                        reply: false,
                    },
                );
            }
            return;
        }
        let outcome = self.table.commit(&write);
        if self.report.end.is_none()
            && let Some(row) = &self.table.rows.end
        {
            self.report.end = Some(row.end.clone());
            self.report.end_s = Some(self.now_us as f64 / 1e6);
        }
        let outcome = if reply { outcome } else { WriteOutcome::Unknown };
        if !self.is_link_cut(TABLE, from) {
            self.push(
                if reply { 12_000 } else { 400_000 },
                from,
                incarnation,
                Event::Outcome(write.id, outcome),
            );
        }
    }

    fn check_reported_end(&mut self, v: usize) {
        let is_done = match self.vms[v].shift.state() {
            State::Done(_) => true,
            State::TakenBack(_) => false,
            _ => return,
        };
        let vm = &mut self.vms[v];
        let row_done = self.table.rows.end.as_ref().map(|r| r.end == TerminalState::Done);
        if vm.reported_done.replace(is_done).is_some_and(|was| was != is_done) || row_done != Some(is_done) {
            self.violation("a VM reported a terminal state other than the table's");
        }
    }

    fn finish(mut self) -> Report {
        if self.table.ends_created > 1 {
            self.violation("more than one terminal state");
        }
        self.report
    }

    fn violation(&mut self, what: &str) {
        let line = format!(
            "seed {} at {:.3} s: {what}",
            self.scenario.seed,
            self.now_us as f64 / 1e6
        );
        self.report.violations.push(line);
    }

    fn shift(&self, v: usize, incarnation: u64) -> Shift {
        let deadline = self.wall + SignedDuration::from_micros(micros(self.scenario.deadline_s).cast_signed());
        let spec = ShiftSpec {
            name: ShiftName::from("nets/stock-v2"),
            service: ServiceName::from("nets/stock"),
            from: VersionName::from("v1"),
            to: VersionName::from("v2"),
            cap: self.scenario.cap,
            deadline,
            guard: self.scenario.guard,
            steps: self.scenario.steps.clone(),
        };
        let context = VmContext {
            vm: VmName::from(format!("vm{v}")),
            incarnation: Incarnation(incarnation),
            domain: self.domains[v % self.scenario.domains].clone(),
            rank: v as u32,
            routes: self.routes.clone(),
            domains: self.domains.clone(),
        };
        Shift::new(self.now(), spec, self.scenario.settings, context).expect("a valid specification")
    }

    fn start_timers(&mut self, v: usize) {
        let incarnation = self.vms[v].incarnation;
        let (a, b) = (self.rng.below(100_000) as u64, self.rng.below(100_000) as u64);
        self.push(a, v, incarnation, Event::Tick);
        self.push(b, v, incarnation, Event::Exchange);
    }

    fn send(&mut self, from: usize, to: usize, event: &dyn Fn() -> Event) {
        let copies = 1 + usize::from(self.rng.chance(self.scenario.duplicate_rate));
        for _ in 0..copies {
            if self.is_link_cut(from, to) || self.rng.chance(self.scenario.loss_rate) {
                continue;
            }
            let same_region = from % self.scenario.domains / 2 == to % self.scenario.domains / 2;
            let mut delay = if same_region { 1_000 } else { 12_000 };
            if self.rng.chance(self.scenario.delay_rate) {
                delay += micros(self.rng.between(0.0, 1.5));
            }
            self.push(delay, to, 0, event());
        }
    }

    fn send_table(&mut self, from: usize, event: Event) {
        let slow = if self.rng.chance(self.scenario.slow_table_rate) {
            micros(self.rng.between(0.0, 2.0))
        } else {
            0
        };
        if !self.is_link_cut(from, TABLE) {
            self.push(12_000 + slow, TABLE, 0, event);
        }
    }

    fn is_link_cut(&self, from: usize, to: usize) -> bool {
        let seconds = self.now_us as f64 / 1e6;
        self.scenario
            .link_cuts
            .iter()
            .any(|c| c.from == from && c.to == to && (c.from_s..c.to_s).contains(&seconds))
    }

    fn outage_end(&self) -> Option<u64> {
        let end = |(a, b): &(f64, f64)| (micros(*a)..micros(*b)).contains(&self.now_us).then(|| micros(*b));
        self.scenario.outages.iter().find_map(end)
    }

    fn next_arrival_us(&mut self) -> u64 {
        micros(-self.rng.unit().max(1e-12).ln() / self.scenario.rate)
    }

    fn push(&mut self, delay: u64, v: usize, incarnation: u64, event: Event) {
        self.seq += 1;
        let slot = self.free.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(None);
        }
        self.events[slot] = Some(event);
        self.queue
            .push(Reverse((self.now_us + delay, self.seq, v, incarnation, slot)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn wall_of(&self, v: usize) -> Timestamp {
        self.wall + SignedDuration::from_micros(self.now_us.cast_signed() + self.vms[v].skew_us)
    }
}
