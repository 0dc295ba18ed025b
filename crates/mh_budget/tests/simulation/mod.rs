//! Simulation of several holders of one budget on a network with faults, checked against one exact bucket for all VMs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use mh_budget::prelude::*;
use mh_types::{Incarnation, VmName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const TICK_US: u64 = 100_000;
const SECOND_US: u64 = 1_000_000;
/// Maximum delay of the platform's list; a live VM learns within this time that it is unlisted.
const LIST_LAG_US: u64 = 500_000;
/// Time for which a VM must be gone before its slots are taken over: the pause limit, the drift, and twice the list's
/// delay.
const TAKEOVER_AFTER_US: u64 = 2_100_000;

pub fn settings() -> LendingSettings {
    LendingSettings {
        lease: Duration::from_secs(1),
        safety_margin: Duration::from_millis(5),
        drift_ppm: 5_000,
        pause_limit: Duration::from_secs(1),
        renew_interval: Duration::from_millis(400),
        retry_timeout: Duration::from_millis(200),
    }
}

/// Exact bucket for all VMs in 10⁻¹² tokens; sees every admission without delay.
pub struct ReferenceBucket {
    rate: i128,
    burst: i128,
    level: i128,
    at: u64,
}

impl ReferenceBucket {
    pub fn new(budget: &Budget) -> Self {
        let burst = i128::from(budget.burst_microtokens()) * 1_000_000;
        Self {
            rate: i128::from(budget.rate_microtokens()),
            burst,
            level: burst,
            at: 0,
        }
    }

    pub fn fill(&mut self, at: u64) -> f64 {
        self.level = (self.level + self.rate * i128::from(at - self.at)).min(self.burst);
        self.at = at;
        self.level as f64 / 1e12
    }

    /// Takes `n` tokens; returns false if more than `burst + rate * t` was admitted in some interval `t`.
    pub fn admit(&mut self, at: u64, n: u32) -> bool {
        self.fill(at);
        self.level -= i128::from(n) * 1_000_000_000_000;
        self.level >= 0
    }
}

#[derive(Debug, Default)]
pub struct Report {
    pub admitted: u64,
    pub messages: u64,
    pub kills: u64,
    pub pauses: u64,
    pub takeovers: u64,
    pub handovers: u64,
    pub loan_requests_answered: u64,
    pub asked_peers: u64,
    pub violation: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize, u64),
    Arrival(usize, u32),
    Message(usize),
    PeerTake {
        to: usize,
        from: usize,
        n: u32,
    },
    Wake(usize),
    StaleClock(usize, u32, u64),
    Start(usize),
    ReadRow(usize, u16, u64),
    Adopt {
        vm: usize,
        incarnation: u64,
        slot: u16,
        version: u64,
        known_at: u64,
        adoption: Adoption,
    },
    Fault,
    AdmitAll,
    TakeOver(usize, u64),
    CheckRows(usize),
}

#[derive(Clone)]
struct Row {
    owner: usize,
    version: u64,
    adoption: Adoption,
}

struct Vm {
    drift_ppm: i64,
    incarnation: u64,
    alive: bool,
    listed: bool,
    killed_at: u64,
    unlisted_at: u64,
    paused_since: u64,
    paused_until: u64,
    /// Slots with the row versions at which this process adopted them.
    adopted: Vec<(u16, u64)>,
    handover_to: Option<usize>,
    holder: BudgetHolder,
}

pub struct Simulation {
    rng: StdRng,
    origin: Instant,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    messages: Vec<Option<(usize, usize, Msg)>>,
    vms: Vec<Vm>,
    rows: Vec<Row>,
    partitions: Vec<(usize, usize, u64)>,
    budget: Arc<Budget>,
    domains: u16,
    reference: ReferenceBucket,
    loss: f64,
    duplication: f64,
    slow_delivery: f64,
    load: f64,
    pub report: Report,
}

fn vm_name(vm: usize) -> VmName {
    VmName::from(format!("vm-{vm}"))
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = [2.0, 20.0, 100.0, 333.3][rng.random_range(0..4)];
        let burst = [5.0, 30.0, 100.5, 250.0][rng.random_range(0..4)];
        let budget = Arc::new(Budget::new("org/a/b".into(), rate, burst).expect("valid budget"));
        let (count, domains) = (rng.random_range(2..7), rng.random_range(1..4u16));
        let origin = Instant::now();
        let drift = i64::from(settings().drift_ppm);
        let mut simulation = Self {
            origin,
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            messages: Vec::new(),
            vms: Vec::new(),
            rows: Vec::new(),
            partitions: Vec::new(),
            reference: ReferenceBucket::new(&budget),
            budget,
            domains,
            loss: rng.random_range(0.0..0.2),
            duplication: rng.random_range(0.0..0.2),
            slow_delivery: rng.random_range(0.0..0.2),
            load: rng.random_range(0.3..3.0),
            report: Report::default(),
            rng,
        };
        for vm in 0..count {
            let drift_ppm = [-drift, 0, drift][simulation.rng.random_range(0..3)];
            let holder = simulation.holder(vm, 1, simulation.origin);
            let (adopted, handover_to) = (Vec::new(), None);
            simulation.vms.push(Vm {
                drift_ppm,
                incarnation: 1,
                alive: true,
                listed: true,
                killed_at: 0,
                unlisted_at: 0,
                paused_since: 0,
                paused_until: 0,
                adopted,
                handover_to,
                holder,
            });
        }
        let slots = simulation.vms[0].holder.division().slots();
        for slot in 0..slots {
            let owner = simulation.rng.random_range(0..count);
            simulation.rows.push(Row {
                owner,
                version: 0,
                adoption: Adoption::New,
            });
            simulation.adopt(owner, slot, 0, 0, Adoption::New);
        }
        simulation.publish_owners();
        for vm in 0..count {
            let at = simulation.rng.random_range(0..TICK_US);
            simulation.push(at, Event::Tick(vm, 1));
            simulation.push(at, Event::Arrival(vm, 1));
        }
        simulation.push(SECOND_US, Event::Fault);
        simulation.push(SECOND_US, Event::AdmitAll);
        simulation
    }

    /// Runs the simulation for `seconds`, or until the first violation.
    pub fn run(mut self, seconds: u64) -> Report {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > seconds * SECOND_US || self.report.violation.is_some() {
                break;
            }
            self.now = at;
            self.on_event(&event);
        }
        self.report.loan_requests_answered = self.vms.iter().map(|vm| vm.holder.stats().loan_requests_answered).sum();
        self.report
    }

    fn holder(&self, vm: usize, incarnation: u64, now: Instant) -> BudgetHolder {
        let domain = format!("domain-{}", vm % usize::from(self.domains)).as_str().into();
        let identity = Arc::new(VmIdentity {
            vm: vm_name(vm),
            domain,
            incarnation: Incarnation(incarnation),
        });
        BudgetHolder::new(
            now,
            identity,
            Arc::clone(&self.budget),
            Arc::new(settings()),
            self.domains,
            vm as u64,
        )
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    /// Reading of the VM's monotonic clock at `at`.
    fn clock_at(&self, vm: usize, at: u64) -> Instant {
        let nanos = i128::from(at) * i128::from(1_000_000 + self.vms[vm].drift_ppm) / 1_000;
        self.origin + Duration::from_nanos(nanos as u64)
    }

    fn clock(&self, vm: usize) -> Instant {
        self.clock_at(vm, self.now)
    }

    /// Whether `vm` runs now; events for a paused VM are postponed until it resumes, in random order.
    fn run_or_postpone(&mut self, vm: usize, event: &Event) -> bool {
        let until = self.vms[vm].paused_until;
        if self.vms[vm].alive && self.now < until {
            let at = until + self.rng.random_range(0..2_000);
            self.push(at, event.clone());
            return false;
        }
        self.vms[vm].alive
    }

    fn adopt(&mut self, vm: usize, slot: u16, version: u64, known_at: u64, adoption: Adoption) {
        let known_at = self.clock_at(vm, known_at);
        let now = self.clock(vm);
        let vm = &mut self.vms[vm];
        if vm
            .holder
            .adopt_slots(now, known_at, &std::iter::once(slot).collect(), adoption)
        {
            vm.adopted.push((slot, version));
        }
    }

    fn publish_owners(&mut self) {
        let mut owners: Vec<usize> = self.rows.iter().map(|row| row.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        let domain = |vm: usize| format!("domain-{}", vm % usize::from(self.domains)).as_str().into();
        let owners = owners.iter().map(|vm| Owner {
            vm: vm_name(*vm),
            domain: domain(*vm),
        });
        let owners: Arc<Owners> = Arc::new(owners.collect());
        for vm in 0..self.vms.len() {
            let now = self.clock(vm);
            self.vms[vm].holder.set_owners(now, Arc::clone(&owners));
        }
    }

    fn admit(&mut self, vm: usize, n: u32) {
        self.report.admitted += u64::from(n);
        if !self.reference.admit(self.now, n) {
            let level = self.reference.level;
            self.report
                .violation
                .get_or_insert(format!("at {} us VM {vm} admitted {n} on level {level}e-12", self.now));
        }
    }

    fn send(&mut self, from: usize, at: u64, out: impl IntoIterator<Item = Outgoing>) {
        for outgoing in out {
            let to = (0..self.vms.len())
                .find(|vm| vm_name(*vm) == outgoing.to)
                .expect("a simulated VM");
            self.report.messages += 1;
            for _ in 0..=u64::from(self.rng.random_bool(self.duplication)) {
                if self.is_lost(from, to) {
                    continue;
                }
                let at = at + self.delay();
                self.messages.push(Some((from, to, outgoing.msg.clone())));
                self.push(at, Event::Message(self.messages.len() - 1));
            }
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let now = self.now;
        self.rng.random_bool(self.loss)
            || self
                .partitions
                .iter()
                .any(|(a, b, until)| (*a, *b) == (from, to) && now < *until)
    }

    fn delay(&mut self) -> u64 {
        let longest = if self.rng.random_bool(self.slow_delivery) {
            3 * SECOND_US
        } else {
            15_000
        };
        self.rng.random_range(500..longest)
    }

    fn on_event(&mut self, event: &Event) {
        match *event {
            Event::Tick(vm, incarnation) => self.on_tick(vm, incarnation, event),
            Event::Arrival(vm, n) => self.on_arrival(vm, n, event),
            Event::Message(index) => self.on_message(index, event),
            Event::PeerTake { to, from, n } => {
                if self.run_or_postpone(to, event) {
                    let now = self.clock(to);
                    let answer = self.vms[to].holder.limiter().decide_for_peer(|| now, n);
                    if answer.admitted {
                        self.admit(to, n);
                    }
                    let answer = (!self.is_lost(to, from)).then_some(answer);
                    self.vms[from].holder.limiter().on_answer(&vm_name(to), answer);
                }
            }
            Event::Wake(vm) => {
                self.push(self.now + LIST_LAG_US, Event::CheckRows(vm));
                if self.vms[vm].alive && self.now >= self.vms[vm].paused_until {
                    // Requests arrive before the holder's first tick after the pause.
                    while self.decide(vm, 1) && self.report.violation.is_none() {}
                }
            }
            Event::StaleClock(vm, n, read_at) => {
                // The clock was read before a pause, and the tokens are taken after it.
                if self.vms[vm].alive && self.now >= self.vms[vm].paused_until {
                    let reads = std::cell::Cell::new(0);
                    let (stale, now) = (self.clock_at(vm, read_at), self.clock(vm));
                    let clock = || if reads.replace(1) == 0 { stale } else { now };
                    if self.vms[vm].holder.limiter().clone().decide(clock, n) == Decision::Admit {
                        self.admit(vm, n);
                    }
                }
            }
            Event::Start(vm) => self.start(vm),
            Event::ReadRow(vm, slot, version) => {
                let row = self.rows[usize::from(slot)].clone();
                if self.run_or_postpone(vm, event) && (row.owner, row.version) == (vm, version) {
                    let (incarnation, known_at) = (self.vms[vm].incarnation, self.now);
                    let at = self.now + self.rng.random_range(0..200_000);
                    self.push(
                        at,
                        Event::Adopt {
                            vm,
                            incarnation,
                            slot,
                            version,
                            known_at,
                            adoption: row.adoption,
                        },
                    );
                }
            }
            Event::Adopt {
                vm,
                incarnation,
                slot,
                version,
                known_at,
                adoption,
            } => {
                if self.vms[vm].incarnation == incarnation && self.run_or_postpone(vm, event) {
                    self.adopt(vm, slot, version, known_at, adoption);
                }
            }
            Event::Fault => self.inject_fault(),
            Event::AdmitAll => self.admit_all(),
            Event::TakeOver(vm, since) => self.take_over(vm, since),
            Event::CheckRows(vm) => {
                if self.run_or_postpone(vm, event) {
                    self.check_rows(vm);
                }
            }
        }
    }

    fn on_tick(&mut self, vm: usize, incarnation: u64, event: &Event) {
        if self.vms[vm].incarnation != incarnation || !self.run_or_postpone(vm, event) {
            return;
        }
        let now = self.clock(vm);
        let out = self.vms[vm].holder.on_tick(now);
        // Sometimes the process pauses between reading the clock and sending.
        let pause_us = if self.rng.random_bool(0.005) {
            self.rng.random_range(0..3 * SECOND_US)
        } else {
            0
        };
        if pause_us > 0 {
            self.pause(vm, pause_us);
        }
        self.send(vm, self.now + pause_us, out);
        if let Some(slots) = self.vms[vm].holder.poll_released(now) {
            self.hand_over(vm, &slots);
        }
        self.push(self.now + TICK_US, Event::Tick(vm, incarnation));
    }

    fn on_arrival(&mut self, vm: usize, n: u32, event: &Event) {
        let rate = self.budget.rate_microtokens() as f64 / 1e6 * self.load / self.vms.len() as f64;
        let next = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        if self.vms[vm].alive && self.now < self.vms[vm].paused_until {
            let at = self.vms[vm].paused_until;
            self.push(at, Event::StaleClock(vm, n, self.now));
        }
        if self.run_or_postpone(vm, event) {
            self.decide(vm, n);
        } else if self.vms[vm].alive {
            return;
        }
        let n = self.rng.random_range(1..3);
        self.push(self.now + (next * 1e6) as u64 + 1, Event::Arrival(vm, n));
    }

    fn decide(&mut self, vm: usize, n: u32) -> bool {
        let now = self.clock(vm);
        match self.vms[vm].holder.limiter().decide(|| now, n) {
            Decision::Admit => {
                self.admit(vm, n);
                true
            }
            Decision::Refuse { .. } => false,
            Decision::AskPeer(to) => {
                let to = (0..self.vms.len())
                    .find(|vm| vm_name(*vm) == to)
                    .expect("a simulated VM");
                self.report.asked_peers += 1;
                if !self.is_lost(vm, to) {
                    let at = self.now + self.delay();
                    self.push(at, Event::PeerTake { to, from: vm, n });
                }
                false
            }
        }
    }

    fn on_message(&mut self, index: usize, event: &Event) {
        let Some((from, to, msg)) = self.messages[index].clone() else {
            return;
        };
        if self.run_or_postpone(to, event) {
            self.messages[index] = None;
            let now = self.clock(to);
            let out = self.vms[to].holder.on_msg(now, &vm_name(from), &msg);
            self.send(to, self.now, out);
        }
    }

    /// Lets every VM admit as much as it can at one moment, which detects shares that exceed the budget in sum.
    fn admit_all(&mut self) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].alive && self.now >= self.vms[vm].paused_until {
                while self.decide(vm, 1) && self.report.violation.is_none() {}
            }
        }
        let next = self.now + self.rng.random_range(1_000..3 * SECOND_US);
        self.push(next, Event::AdmitAll);
    }

    fn inject_fault(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        let other = self.rng.random_range(0..self.vms.len());
        match self.rng.random_range(0..6) {
            0 => self.kill(vm),
            1 => {
                let time = self.rng.random_range(10_000..6 * SECOND_US);
                self.pause(vm, time);
            }
            2 => self
                .partitions
                .push((vm, other, self.now + self.rng.random_range(100_000..4 * SECOND_US))),
            3 => {
                let until = self.now + self.rng.random_range(100_000..4 * SECOND_US);
                for peer in 0..self.vms.len() {
                    self.partitions.push((vm, peer, until));
                    self.partitions.push((peer, vm, until));
                }
            }
            4 => self.unlist(vm),
            _ => {
                let now = self.clock(vm);
                let running = self.vms[vm].alive && self.now >= self.vms[vm].paused_until;
                let first = self.vms[vm].holder.owned().iter().next();
                if let (true, Some(slot)) = (running && vm != other, first) {
                    self.vms[vm].handover_to = Some(other);
                    self.vms[vm].holder.release_slots(now, &std::iter::once(slot).collect());
                }
            }
        }
        let next = self.now + self.rng.random_range(100_000..2 * SECOND_US);
        self.push(next, Event::Fault);
    }

    fn pause(&mut self, vm: usize, time: u64) {
        let until = self.now + time;
        if !self.vms[vm].alive || self.vms[vm].paused_until >= until {
            return;
        }
        self.report.pauses += 1;
        if self.vms[vm].paused_until <= self.now {
            self.vms[vm].paused_since = self.now;
        }
        self.vms[vm].paused_until = until;
        self.push(until, Event::Wake(vm));
        self.push(self.now + TAKEOVER_AFTER_US, Event::TakeOver(vm, self.now));
    }

    fn kill(&mut self, vm: usize) {
        if self.vms[vm].alive {
            self.report.kills += 1;
            self.vms[vm].alive = false;
            self.vms[vm].killed_at = self.now;
            self.vms[vm].paused_until = u64::MAX;
            self.push(self.now + TAKEOVER_AFTER_US, Event::TakeOver(vm, self.now));
            let longest = if self.rng.random_bool(0.5) {
                100_000
            } else {
                5 * SECOND_US
            };
            let restart_at = self.now + self.rng.random_range(1_000..longest);
            self.push(restart_at, Event::Start(vm));
        }
    }

    fn start(&mut self, vm: usize) {
        let incarnation = self.vms[vm].incarnation + 1;
        let holder = self.holder(vm, incarnation, self.clock(vm));
        let state = &mut self.vms[vm];
        (state.incarnation, state.alive, state.listed, state.paused_until) = (incarnation, true, true, 0);
        (state.holder, state.handover_to) = (holder, None);
        state.adopted.clear();
        for slot in 0..self.rows.len() {
            if self.rows[slot].owner == vm {
                self.adopt(vm, slot as u16, self.rows[slot].version, self.now, Adoption::TakenOver);
            }
        }
        self.publish_owners();
        self.push(self.now + 1, Event::Tick(vm, incarnation));
    }

    /// Removes a live VM from the platform's list.
    fn unlist(&mut self, vm: usize) {
        if self.vms[vm].alive && self.vms[vm].listed {
            self.vms[vm].listed = false;
            self.vms[vm].unlisted_at = self.now;
            let noticed_at = self.now + self.rng.random_range(0..LIST_LAG_US);
            self.push(noticed_at, Event::CheckRows(vm));
            self.push(self.now + TAKEOVER_AFTER_US, Event::TakeOver(vm, self.now));
        }
    }

    /// Lets another VM take over the slots of `vm` if it has been gone without interruption since `since`.
    fn take_over(&mut self, vm: usize, since: u64) {
        let state = &self.vms[vm];
        let is_gone = (!state.alive && state.killed_at <= since)
            || (!state.listed && state.unlisted_at <= since)
            || (state.paused_until > self.now && state.paused_since <= since);
        let new_owner = self.rng.random_range(0..self.vms.len());
        if !is_gone
            || new_owner == vm
            || !self.vms[new_owner].alive
            || !self.vms[new_owner].listed
            || self.rng.random_bool(0.3)
        {
            return;
        }
        for slot in 0..self.rows.len() {
            if self.rows[slot].owner == vm {
                self.report.takeovers += 1;
                self.write_row(slot as u16, new_owner, Adoption::TakenOver);
            }
        }
        if self.vms[vm].alive && !self.vms[vm].listed {
            self.push(self.now + SECOND_US, Event::CheckRows(vm));
        }
        self.vms[vm].listed = self.vms[vm].alive;
        self.publish_owners();
    }

    fn hand_over(&mut self, vm: usize, slots: &Slots) {
        let Some(to) = self.vms[vm].handover_to.take() else {
            return;
        };
        for slot in slots.iter() {
            let version = self.rows[usize::from(slot)].version;
            if self.rows[usize::from(slot)].owner == vm && self.vms[vm].adopted.contains(&(slot, version)) {
                self.report.handovers += 1;
                self.write_row(slot, to, Adoption::HandedOver);
            }
        }
        self.publish_owners();
    }

    fn write_row(&mut self, slot: u16, owner: usize, adoption: Adoption) {
        let row = &mut self.rows[usize::from(slot)];
        *row = Row {
            owner,
            version: row.version + 1,
            adoption,
        };
        let version = row.version;
        let at = self.now + self.rng.random_range(1_000..300_000);
        self.push(at, Event::ReadRow(owner, slot, version));
    }

    /// Lets `vm` read the list of VMs and the slot rows.
    fn check_rows(&mut self, vm: usize) {
        let now = self.clock(vm);
        let listed = self.vms[vm].listed;
        let out = self.vms[vm].holder.on_listed(now, listed);
        self.send(vm, self.now, out);
        let if_unchanged = |(slot, version): &(u16, u64)| {
            let row = &self.rows[usize::from(*slot)];
            (row.owner == vm && row.version == *version).then_some(*slot)
        };
        let still_owned: Slots = self.vms[vm].adopted.iter().filter_map(if_unchanged).collect();
        self.vms[vm].holder.confirm(now, now, &still_owned);
    }
}
