//! Seeded simulation of the quota controllers of a fleet, with copies of the VM list that lag, differ and stay behind.
//!
//! VMs are stopped, killed, started, paused and cut off from the store in any order. Messages between them arrive late or
//! not at all. The simulation checks that no window of time admits more than the quota allows, that all of the quota can
//! be used again once the faults are over, and that a fleet in which all VMs were restarted admits requests at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mh_budget::Decision;
use mh_types::Incarnation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::CallerLimits;

const SECOND: Duration = Duration::from_secs(1);

/// Quota of the organisation in requests per second, and its burst.
const RATE: f64 = 99.0;

/// Window in which admissions are counted, and the part and the number of requests by which they may exceed the quota.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Seeds of the simulation for each number of VMs.
const SEEDS: u64 = 40;

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(50);

/// Time between two ticks of a VM.
const TICK: Duration = Duration::from_millis(200);

/// Time between two pings of a VM to one other.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a sign of life after which a VM is considered dead.
const DEAD_AFTER: Duration = Duration::from_millis(1800);

/// Time after which the entry of a dead VM is removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(20);

/// Time for which a VM that is stopped still serves.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Time since the last read after which a VM counts others that are up and missing in its list.
const CURRENT_TIME: Duration = Duration::from_secs(2);

/// Longest time after which a VM that reaches the store knows a change of the list, in milliseconds.
const MAX_LAG_MS: u64 = 1800;

enum Packet {
    Ping,
    Lend(Msg),
    Handover(HandoverMsg),
}

/// Event from outside; VMs are identified by their index.
#[derive(Clone, Copy, Debug)]
enum Event {
    Kill(usize),
    Stop(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize),
    Heal(usize),
}

#[derive(Debug, PartialEq)]
enum State {
    Down,
    Up,
    Paused,
    /// Stopped for planned work; exits at this time.
    Leaving(Instant),
}

struct Vm {
    owner: Owner,
    state: State,
    is_cut: bool,
    starts: u64,
    controller: QuotaController,
    /// Copy of the list; `None` before the first read.
    list: Option<Vec<Owner>>,
    read_at: Instant,
    /// When the list was last read, in full or not.
    listed_at: Instant,
    next_read_at: Instant,
    /// Whether changes since the last read do not suffice.
    needs_new_read: bool,
    next_tick_at: Instant,
    last_tick_at: Instant,
    next_ping_at: Instant,
    heard: BTreeMap<VmName, (Instant, Instant)>,
}

impl Vm {
    fn new(n: usize, now: Instant) -> Self {
        let owner = Owner {
            vm: format!("vm-{n}").as_str().into(),
            domain: "a".into(),
        };
        Self {
            controller: Self::controller(&owner, 0, now),
            owner,
            state: State::Down,
            is_cut: false,
            starts: 0,
            list: None,
            read_at: now,
            listed_at: now,
            next_read_at: now,
            needs_new_read: true,
            next_tick_at: now,
            last_tick_at: now,
            next_ping_at: now,
            heard: BTreeMap::new(),
        }
    }

    fn controller(owner: &Owner, starts: u64, now: Instant) -> QuotaController {
        let local = VmIdentity {
            vm: owner.vm.clone(),
            domain: owner.domain.clone(),
            incarnation: Incarnation(starts),
        };
        QuotaController::new(local, now)
    }

    fn start(&mut self, now: Instant) {
        self.starts += 1;
        self.controller = Self::controller(&self.owner, self.starts, now);
        self.state = State::Up;
        (self.list, self.heard) = (None, BTreeMap::new());
        (
            self.next_read_at,
            self.next_tick_at,
            self.last_tick_at,
            self.next_ping_at,
        ) = (now, now, now, now);
    }

    fn is_running(&self) -> bool {
        matches!(self.state, State::Up | State::Leaving(_))
    }

    /// Whether the VM was heard and not for too long.
    fn hears(&self, vm: &VmName, now: Instant) -> bool {
        self.heard.get(vm).is_some_and(|(at, _)| now < *at + DEAD_AFTER)
    }

    /// The VMs that share quotas in the view of this one: those of its list, and others that are up if
    /// it cannot read the list.
    fn sharing(&self, now: Instant, leaving: &BTreeSet<VmName>) -> Vec<Owner> {
        let listed = self.list.clone().unwrap_or_default();
        let is_listed = |vm: &VmName| listed.iter().any(|owner| owner.vm == *vm);
        let up = self
            .heard
            .keys()
            .filter(|vm| self.hears(vm, now) && !leaving.contains(*vm));
        let unlisted = up.filter(|vm| !is_listed(vm) && **vm != self.owner.vm).map(|vm| Owner {
            vm: vm.clone(),
            domain: "a".into(),
        });
        let unlisted: Vec<Owner> = unlisted.collect();
        if now < self.listed_at + CURRENT_TIME {
            return listed;
        }
        listed.into_iter().chain(unlisted).collect()
    }
}

struct Fleet {
    now: Instant,
    rng: StdRng,
    plan: Plan,
    /// The list of VMs in the store.
    stored: Vec<Owner>,
    vms: Vec<Vm>,
    packets: Vec<(Instant, VmName, VmName, Packet)>,
    /// Quota in requests per second, and its burst.
    rate: f64,
    /// Part of the packets that are lost, in percent.
    loss: u32,
    /// Times of the admissions of the last window.
    admitted: VecDeque<Instant>,
    /// Largest number of admissions in a window.
    worst: usize,
}

impl Fleet {
    fn start(count: usize, seed: u64) -> Self {
        Self::start_with(count, seed, RATE)
    }

    fn start_with(count: usize, seed: u64, rate: f64) -> Self {
        let now = Instant::now();
        let org = PlanOrg {
            name: "coop".into(),
            rate_per_s: rate,
            burst: rate,
            priority: 0,
            regions: Vec::new(),
        };
        let orgs = vec![(org, Vec::new())];
        let mut fleet = Self {
            now,
            rng: StdRng::seed_from_u64(seed),
            plan: Plan::new(Revision(1), Vec::new(), Vec::new(), orgs, CallerLimits::default()),
            stored: Vec::new(),
            vms: (0..count).map(|n| Vm::new(n, now)).collect(),
            packets: Vec::new(),
            rate,
            loss: 0,
            admitted: VecDeque::new(),
            worst: 0,
        };
        (0..count).for_each(|vm| fleet.apply(Event::Start(vm)));
        fleet
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Kill(vm) => self.vms[vm].state = State::Down,
            Event::Stop(vm) if self.vms[vm].state == State::Up => {
                self.vms[vm].state = State::Leaving(now + LEAVE_TIME);
                if !self.vms[vm].is_cut {
                    let name = self.vms[vm].owner.vm.clone();
                    self.stored.retain(|owner| owner.vm != name);
                }
            }
            Event::Start(vm) if self.vms[vm].state == State::Down => self.vms[vm].start(now),
            Event::Pause(vm) if self.vms[vm].state == State::Up => self.vms[vm].state = State::Paused,
            Event::Resume(vm) if self.vms[vm].state == State::Paused => self.vms[vm].state = State::Up,
            Event::Cut(vm) => self.vms[vm].is_cut = true,
            Event::Heal(vm) => self.vms[vm].is_cut = false,
            _ => {}
        }
    }

    /// Runs for `time`, in which each VM has more callers than the quota allows.
    fn run(&mut self, time: Duration) -> usize {
        let end = self.now + time;
        let mut count = 0;
        while self.now < end {
            self.advance();
            count += self.admit();
        }
        count
    }

    /// Runs for `time`, in which requests arrive at random VMs at `load` times the rate of the quota; returns the requests
    /// and those of them that are refused.
    fn run_load(&mut self, load: f64, time: Duration) -> (usize, usize) {
        let end = self.now + time;
        let (mut count, mut refused) = (0, 0);
        while self.now < end {
            self.advance();
            let is_serving = |vm: &&Vm| vm.state == State::Up && !vm.controller.shares.is_empty();
            let serving: Vec<VmName> = self
                .vms
                .iter()
                .filter(is_serving)
                .map(|vm| vm.owner.vm.clone())
                .collect();
            let expected = load * self.rate * STEP.as_secs_f64();
            let requests = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
            for _ in 0..requests {
                let Some(vm) = serving.get(self.rng.random_range(0..serving.len().max(1))) else {
                    break;
                };
                count += 1;
                let is_admitted = self.decide(vm);
                refused += usize::from(!is_admitted);
                self.record(usize::from(is_admitted));
            }
        }
        (count, refused)
    }

    /// Decides about a request as the product does: with the share of the VM, then with those of others.
    fn decide(&self, vm: &VmName) -> bool {
        let now = self.now;
        let limiter = |name: &VmName| {
            let running = self.vms.iter().find(|vm| vm.owner.vm == *name && vm.is_running())?;
            running.controller.limiters().get("coop").cloned()
        };
        let Some(own) = limiter(vm) else { return false };
        let mut decision = own.decide(|| now, 1);
        for asked in 1.. {
            let Decision::AskPeer(peer) = decision else { break };
            let answer = limiter(&peer).map(|limiter| limiter.decide_for_peer(|| now, 1));
            own.on_answer(&peer, answer);
            if answer.is_some_and(|answer| answer.admitted) {
                return true;
            }
            decision = own.decide_again(|| now, 1, asked);
        }
        decision == Decision::Admit
    }

    /// Goes on by one step, without requests.
    fn advance(&mut self) {
        self.now += STEP;
        self.deliver();
        for vm in 0..self.vms.len() {
            self.step(vm);
        }
    }

    fn send(&mut self, from: &VmName, to: VmName, packet: Packet) {
        if !self.rng.random_ratio(self.loss, 100) {
            let delay = Duration::from_millis(self.rng.random_range(1..150));
            self.packets.push((self.now + delay, from.clone(), to, packet));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|packet| packet.0 <= now);
        self.packets = later;
        for (_, from, to, packet) in due {
            let Some(vm) = self.vms.iter_mut().find(|vm| vm.owner.vm == to) else {
                continue;
            };
            // What arrives at a paused VM is read when it goes on.
            if vm.state == State::Paused {
                self.packets.push((now + STEP, from, to, packet));
                continue;
            }
            if !vm.is_running() {
                continue;
            }
            let first = vm.heard.get(&from).map_or(now, |(_, first)| *first);
            vm.heard.insert(from.clone(), (now, first));
            let mut out = Vec::new();
            match packet {
                Packet::Ping => {}
                Packet::Lend(msg) => out.extend(
                    vm.controller
                        .on_msgs(&from, &[msg], now)
                        .into_iter()
                        .map(|sent| (sent.to, Packet::Lend(sent.msg))),
                ),
                Packet::Handover(msg) => {
                    let answer = vm.controller.on_handover(&from, &msg, now);
                    out.extend(answer.map(|answer| (from, Packet::Handover(answer))));
                }
            }
            for (receiver, packet) in out {
                self.send(&to, receiver, packet);
            }
        }
    }

    /// Lets one VM read the list, ping the others and tick, as far as it is time for that.
    fn step(&mut self, index: usize) {
        let now = self.now;
        let is_leaving = |vm: &Vm| matches!(vm.state, State::Leaving(_));
        let leaving = self
            .vms
            .iter()
            .filter(|vm| is_leaving(vm))
            .map(|vm| vm.owner.vm.clone());
        let leaving: BTreeSet<VmName> = leaving.collect();
        let lag = Duration::from_millis(self.rng.random_range(100..MAX_LAG_MS));
        let vm = &mut self.vms[index];
        if matches!(vm.state, State::Leaving(until) if now >= until) {
            vm.state = State::Down;
        }
        if !vm.is_running() {
            return;
        }
        // After a pause the list must be read anew.
        vm.needs_new_read |= vm.list.is_none() || now >= vm.last_tick_at + QuotaController::pause_limit();
        if !vm.is_cut && (now >= vm.next_read_at || vm.needs_new_read) {
            let is_listed = self.stored.iter().any(|owner| owner.vm == vm.owner.vm);
            if !is_listed && !is_leaving(vm) {
                self.stored.push(vm.owner.clone());
            }
            vm.next_read_at = now + lag;
            if std::mem::take(&mut vm.needs_new_read) {
                vm.read_at = now;
            }
            vm.list = Some(self.stored.clone());
            vm.listed_at = now;
            let dead = vm
                .heard
                .iter()
                .filter(|(_, (at, _))| now >= *at + DEAD_AFTER + REMOVAL_DELAY);
            let dead: Vec<VmName> = dead.map(|(vm, _)| vm.clone()).collect();
            self.stored.retain(|owner| !dead.contains(&owner.vm));
        }
        if now < vm.next_tick_at || vm.list.is_none() {
            return;
        }
        vm.next_tick_at = now + TICK;
        vm.last_tick_at = now;
        let sharing = vm.sharing(now, &leaving);
        vm.controller.sync(&self.plan, &sharing, vm.read_at, now);
        let mut out: Vec<(VmName, Packet)> = Vec::new();
        if now >= vm.next_ping_at && !leaving.contains(&vm.owner.vm) {
            vm.next_ping_at = now + PING_INTERVAL;
            out.extend(sharing.iter().map(|owner| (owner.vm.clone(), Packet::Ping)));
        }
        let lent = vm.controller.on_tick(now);
        out.extend(lent.into_iter().map(|sent| (sent.to, Packet::Lend(sent.msg))));
        let dead: BTreeSet<VmName> = sharing
            .iter()
            .filter(|owner| !vm.hears(&owner.vm, now))
            .map(|owner| owner.vm.clone())
            .collect();
        if vm.controller.waits_for_handover() {
            let (questions, _) = vm.controller.handover_questions(now, |vm| dead.contains(vm));
            out.extend(questions.into_iter().map(|(vm, msg)| (vm, Packet::Handover(msg))));
        }
        let from = vm.owner.vm.clone();
        for (to, packet) in out.into_iter().filter(|(to, _)| *to != from) {
            self.send(&from, to, packet);
        }
    }

    /// Admits as many requests as the VMs allow; returns their number.
    fn admit(&mut self) -> usize {
        let now = self.now;
        let mut count = 0;
        for vm in self.vms.iter().filter(|vm| vm.is_running()) {
            let limiters = vm.controller.limiters();
            let Some(limiter) = limiters.get("coop") else { continue };
            while limiter.meter().try_take_with(|| now, 1) {
                count += 1;
            }
        }
        self.record(count);
        count
    }

    fn record(&mut self, count: usize) {
        let now = self.now;
        self.admitted.extend(std::iter::repeat_n(now, count));
        while self.admitted.front().is_some_and(|at| *at + WINDOW <= now) {
            self.admitted.pop_front();
        }
        self.worst = self.worst.max(self.admitted.len());
    }

    fn assert_quota_held(&self, case: &str) {
        let allowed = (self.rate * WINDOW.as_secs_f64() + self.rate) * (1.0 + EXCESS) + SLACK;
        assert!(
            self.worst as f64 <= allowed,
            "{case}: {} admissions in {WINDOW:?}, {allowed:.1} allowed",
            self.worst
        );
    }
}

/// Draws events of all kinds in random order; each fault ends by itself.
fn random_events(rng: &mut StdRng, vms: usize) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    for _ in 0..rng.random_range(3..10) {
        let at = Duration::from_millis(rng.random_range(0..20_000));
        let vm = rng.random_range(0..vms);
        match rng.random_range(0..5) {
            0 => {
                let back = at + Duration::from_millis(rng.random_range(300..8000));
                events.extend([(at, Event::Kill(vm)), (back, Event::Start(vm))]);
            }
            1 => events.extend([(at, Event::Stop(vm)), (at + SECOND * 6, Event::Start(vm))]),
            2 => {
                let back = at + Duration::from_millis(rng.random_range(200..7000));
                events.extend([(at, Event::Pause(vm)), (back, Event::Resume(vm))]);
            }
            3 => {
                let back = at + Duration::from_millis(rng.random_range(500..15_000));
                events.extend([(at, Event::Cut(vm)), (back, Event::Heal(vm))]);
            }
            _ => {
                // Planned work whose VM returns while another one is cut off from the store.
                let other = rng.random_range(0..vms);
                let cut_at = at + Duration::from_millis(rng.random_range(2000..6500));
                let healed_at = cut_at + Duration::from_millis(rng.random_range(3000..12_000));
                events.extend([(at, Event::Stop(vm)), (at + SECOND * 6, Event::Start(vm))]);
                events.extend([(cut_at, Event::Cut(other)), (healed_at, Event::Heal(other))]);
            }
        }
    }
    if rng.random_ratio(1, 4) {
        let at = Duration::from_millis(rng.random_range(0..20_000));
        for vm in 0..vms {
            let back = at + Duration::from_millis(rng.random_range(500..2500));
            events.extend([(at, Event::Kill(vm)), (back, Event::Start(vm))]);
        }
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Guards against a slot with two users: a VM that returns uses slots which another one still uses by an older copy of the
/// list.
#[test]
fn a_vm_that_returns_waits_for_one_that_is_cut_off_from_the_store() {
    for (count, seed) in [(2, 1), (2, 2), (3, 1), (10, 1)] {
        let mut fleet = Fleet::start(count, seed);
        fleet.run(SECOND * 8);
        fleet.apply(Event::Stop(1));
        fleet.run(SECOND * 6);
        (0..count)
            .filter(|vm| *vm != 1)
            .for_each(|vm| fleet.apply(Event::Cut(vm)));
        fleet.apply(Event::Start(1));
        fleet.run(SECOND * 12);

        fleet.assert_quota_held(&format!("{count} VMs, seed {seed}"));
    }
}

/// Guards against any order of stops, kills, starts, pauses and cuts from the store after which a slot has two users, or
/// none once the faults are over.
#[test]
fn no_order_of_faults_gives_a_slot_two_users() {
    for count in [2, 3, 10] {
        for seed in 0..SEEDS {
            let case = format!("{count} VMs, seed {seed}");
            let mut fleet = Fleet::start(count, seed);
            fleet.run(SECOND * 6);
            fleet.loss = fleet.rng.random_range(0..20);
            let events = random_events(&mut fleet.rng, count);
            let started = fleet.now;
            for (at, event) in events {
                let wait = (started + at).saturating_duration_since(fleet.now);
                fleet.run(wait);
                fleet.apply(event);
            }
            fleet.run(SECOND * 16);
            fleet.loss = 0;
            for vm in 0..count {
                fleet.apply(Event::Heal(vm));
                fleet.apply(Event::Resume(vm));
                fleet.apply(Event::Start(vm));
            }
            fleet.run(SECOND * 12);
            let served = fleet.run(SECOND * 5);

            fleet.assert_quota_held(&case);
            assert!(
                served as f64 >= 0.9 * RATE * 5.0,
                "{case}: {served} admissions after the faults"
            );
        }
    }
}

/// Guards against refusing every request of an organisation for some time after a restart of all VMs.
#[test]
fn a_restart_of_all_vms_admits_at_once() {
    for count in [1, 2, 10] {
        let mut fleet = Fleet::start(count, 1);
        fleet.run(SECOND * 8);
        (0..count).for_each(|vm| fleet.apply(Event::Kill(vm)));
        fleet.run(SECOND);
        (0..count).for_each(|vm| fleet.apply(Event::Start(vm)));
        fleet.run(SECOND);
        let served = fleet.run(SECOND);

        assert!(
            served as f64 >= 0.8 * RATE,
            "{count} VMs: {served} admissions in the second second"
        );
        fleet.assert_quota_held(&format!("{count} VMs"));
    }
}

/// Guards against a quota that few may use while VMs are restarted one after the other, each before the slots that the
/// last one gave up have new users.
#[test]
fn a_rolling_restart_leaves_most_of_the_quota_in_use() {
    let count = 10;
    let mut fleet = Fleet::start(count, 1);
    fleet.run(SECOND * 8);
    let mut events: Vec<(Duration, Event)> = Vec::new();
    for vm in 0..count {
        let at = SECOND * 2 * vm as u32;
        events.extend([(at, Event::Stop(vm)), (at + SECOND * 6, Event::Start(vm))]);
    }
    events.sort_by_key(|(at, _)| *at);
    let started = fleet.now;
    let mut served = 0;
    for (at, event) in events {
        let wait = (started + at).saturating_duration_since(fleet.now);
        served += fleet.run(wait);
        fleet.apply(event);
    }

    let allowed = RATE * (fleet.now - started).as_secs_f64();
    assert!(served as f64 >= 0.5 * allowed, "{served} of {allowed:.0} admissions");
    fleet.assert_quota_held("rolling restart");
}

/// Number of VMs of a large fleet, and its rolling restart: VMs that are stopped at the same time, and the time between two
/// such groups.
const LARGE_FLEET: usize = 85;
const ROLLED_TOGETHER: usize = 4;
const ROLL_INTERVAL: Duration = Duration::from_millis(1430);

/// Time that a VM of the large fleet is down during the rolling restart, and during the restart of all.
const ROLL_DOWNTIME: Duration = Duration::from_millis(500);
const RESTART_DOWNTIME: Duration = Duration::from_millis(1740);

/// When all VMs are killed, after the beginning of the rolling restart.
const KILLED_AFTER: Duration = Duration::from_millis(4800);

/// Time after a restart of all VMs in which they agree: until the last one knows the list, and two rounds of questions.
const AGREEMENT_TIME: Duration = Duration::from_millis(MAX_LAG_MS + 1200);

/// Runs a rolling restart of some VMs of a large fleet and then a restart of all; returns the requests, and those of them
/// that are refused, during the rolling restart and after the VMs had time to agree.
fn restart_many(fleet: &mut Fleet, load: f64) -> [(usize, usize); 2] {
    fleet.run_load(load, SECOND * 10);
    let mut events: Vec<(Duration, Event)> = Vec::new();
    for vm in 0..ROLLED_TOGETHER * 3 {
        let at = ROLL_INTERVAL * (vm / ROLLED_TOGETHER) as u32;
        events.push((at, Event::Stop(vm)));
        events.push((at + LEAVE_TIME + ROLL_DOWNTIME, Event::Start(vm)));
    }
    // The last VMs are still stopped when all are killed.
    events.retain(|(at, _)| *at < KILLED_AFTER);
    events.sort_by_key(|(at, _)| *at);
    events.push((KILLED_AFTER, Event::Kill(0)));
    let started = fleet.now;
    let mut rolled = (0, 0);
    for (at, event) in events {
        let wait = (started + at).saturating_duration_since(fleet.now);
        let (count, refused) = fleet.run_load(load, wait);
        rolled = (rolled.0 + count, rolled.1 + refused);
        fleet.apply(event);
    }
    (0..LARGE_FLEET).for_each(|vm| fleet.apply(Event::Kill(vm)));
    fleet.run_load(load, RESTART_DOWNTIME);
    (0..LARGE_FLEET).for_each(|vm| fleet.apply(Event::Start(vm)));
    fleet.run_load(load, AGREEMENT_TIME);
    [rolled, fleet.run_load(load, SECOND * 3)]
}

/// Guards against refusals of requests within the quota while many VMs of a large fleet are stopped and started, and then
/// all are killed and started again, as slots wait for their new owners.
#[test]
fn restarts_of_many_vms_leave_the_quota_usable() {
    for (rate, seed) in [(29.0, 1), (99.0, 2), (656.0, 3)] {
        let case = format!("quota of {rate}/s, seed {seed}");
        let mut fleet = Fleet::start_with(LARGE_FLEET, seed, rate);
        let [rolled, restarted] = restart_many(&mut fleet, 0.5);

        fleet.assert_quota_held(&case);
        for (part, (count, refused)) in [("rolling restart", rolled), ("restart of all", restarted)] {
            assert!(
                refused * 50 <= count,
                "{case}, {part}: {refused} of {count} requests refused"
            );
        }
    }
}

/// Guards against slots with two users after the same restarts, with more requests than the quota allows.
#[test]
fn restarts_of_many_vms_keep_the_quota() {
    for (rate, seed) in [(29.0, 1), (99.0, 2), (656.0, 3)] {
        let mut fleet = Fleet::start_with(LARGE_FLEET, seed, rate);
        restart_many(&mut fleet, 3.0);
        fleet.run_load(3.0, SECOND * 3);

        fleet.assert_quota_held(&format!("quota of {rate}/s, seed {seed}"));
    }
}
