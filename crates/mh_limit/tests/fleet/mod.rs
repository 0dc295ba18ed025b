//! Simulated fleet of VMs that send requests to one server with a limit.

mod arrival;
mod fault;
mod rule;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use mh_limit::{Admission, Ask, LimitVm, Limits, Msg, Reply, Stated, Target};
use mh_types::VmName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use arrival::Arrival;
pub use fault::Fault;

/// Time that a VM waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// Time between two ticks of a VM.
const TICK: Duration = Duration::from_millis(200);

/// Time that the server takes to answer.
const WORK_TIME: Duration = Duration::from_millis(50);

/// Time after which the requests of a VM that passed on a statement count.
const TOLD_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug)]
enum Event {
    Request(usize),
    Ask(usize, usize, u64, Ask),
    Reply(usize, u64, Reply),
    ReplyTimeout(usize, u64),
    Arrive(usize, Duration),
    Answer(usize, Duration, Stated),
    Tick(usize),
    Msg(usize, usize, Msg),
    Fault(usize, Fault),
    /// The first VM learns whether it reaches the second.
    Notice(usize, usize),
    State(Option<f64>),
}

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults of a VM are independent of each other"
)]
struct Vm {
    limits: Limits,
    runs: u32,
    is_alive: bool,
    is_paused: bool,
    is_cut: bool,
    is_leaving: bool,
    seen: Vec<bool>,
    /// When the VM first passed on an answer with a limit.
    told_at: Option<Duration>,
    /// What happened while the process stood still.
    held: Vec<Event>,
}

pub struct Fleet {
    start: Instant,
    now: Duration,
    rng: StdRng,
    vms: Vec<Vm>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    next_event: u64,
    waiting: HashMap<u64, (usize, u32, usize, Ask)>,
    requests_per_s: f64,
    loss: f64,
    limit: Option<f64>,
    /// Limits that the server has stated, with their times.
    pub stated: Vec<(Duration, Option<f64>)>,
    pub arrivals: Vec<Arrival>,
    cut_at: Vec<Duration>,
}

fn name(vm: usize) -> VmName {
    format!("vm-{vm}").as_str().into()
}

fn limit_vm(vm: usize) -> LimitVm {
    LimitVm {
        vm: name(vm),
        domain: format!("domain-{}", vm % 6).as_str().into(),
        region: format!("region-{}", vm % 3).as_str().into(),
    }
}

fn target() -> Target {
    Target {
        server: "server".into(),
        run: 1,
        domain: "domain-1".into(),
        region: "region-1".into(),
    }
}

impl Fleet {
    /// Starts `vms` VMs that together have `requests_per_s` requests for the server; messages are lost with the
    /// probability `loss`.
    pub fn start(vms: usize, requests_per_s: f64, loss: f64, seed: u64) -> Self {
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            vms: Vec::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_event: 0,
            waiting: HashMap::new(),
            requests_per_s,
            loss,
            limit: None,
            stated: Vec::new(),
            arrivals: Vec::new(),
            cut_at: vec![Duration::ZERO; vms],
        };
        for vm in 0..vms {
            fleet.vms.push(Vm {
                limits: Limits::new(name(vm)),
                runs: 0,
                is_alive: true,
                is_paused: false,
                is_cut: false,
                is_leaving: false,
                seen: vec![true; vms],
                told_at: None,
                held: Vec::new(),
            });
            fleet.set_view(vm);
            fleet.schedule_tick(vm);
            fleet.schedule_request(vm);
        }
        fleet
    }

    /// Injects a fault at the time `at`.
    pub fn fault(&mut self, at: Duration, vm: usize, fault: Fault) {
        self.push(at, Event::Fault(vm, fault));
    }

    /// Makes the server state a limit from the time `at` on, or none.
    pub fn state(&mut self, at: Duration, limit: Option<f64>) {
        self.push(at, Event::State(limit));
    }

    /// Runs until the time `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// VMs on which the limit is in force.
    pub fn informed(&self) -> usize {
        let is_informed = |vm: &&Vm| vm.limits.limited_servers() == 1;
        self.vms.iter().filter(is_informed).count()
    }

    /// Number of VMs.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_secs(100) + self.now
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn delay(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        self.now + Duration::from_micros(self.rng.random_range(from_ms * 1000..to_ms * 1000))
    }

    fn schedule_tick(&mut self, vm: usize) {
        let at = self.delay(1, 200);
        self.push(at, Event::Tick(vm));
    }

    fn schedule_request(&mut self, vm: usize) {
        let mean = self.vms.capacity().min(self.cut_at.len()) as f64 / self.requests_per_s;
        let gap = -mean * (1.0 - self.rng.random::<f64>()).ln();
        self.push(self.now + Duration::from_secs_f64(gap), Event::Request(vm));
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.vms[a].is_cut == self.vms[b].is_cut
    }

    fn set_view(&mut self, vm: usize) {
        let at = self.at();
        let count = self.vms.len();
        let has_left = |peer: &usize| self.vms[*peer].is_leaving && (*peer == vm || !self.vms[vm].seen[*peer]);
        let listed = self.cut_at.len() - (0..count).filter(has_left).count();
        let is_leaving = self.vms[vm].is_leaving;
        let alive: Vec<LimitVm> = (0..self.cut_at.len())
            .filter(|peer| {
                if *peer == vm {
                    !is_leaving
                } else {
                    self.vms[vm].seen[*peer]
                }
            })
            .map(limit_vm)
            .collect();
        self.vms[vm].limits.set_vms(at, &alive, listed);
    }

    /// Sends an event from one VM to another over a network that loses some.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.reaches(from, to) && self.rng.random::<f64>() >= self.loss {
            let at = self.delay(1, 30);
            self.push(at, event);
        }
    }

    fn handle(&mut self, event: Event) {
        let vm = match &event {
            Event::Request(vm)
            | Event::Ask(_, vm, ..)
            | Event::Reply(vm, ..)
            | Event::ReplyTimeout(vm, _)
            | Event::Answer(vm, ..)
            | Event::Tick(vm)
            | Event::Notice(vm, _)
            | Event::Msg(_, vm, _) => Some(*vm),
            Event::Arrive(..) | Event::Fault(..) | Event::State(_) => None,
        };
        if let Some(vm) = vm {
            if self.vms[vm].is_paused {
                self.vms[vm].held.push(event);
                return;
            }
            if !self.vms[vm].is_alive {
                match event {
                    Event::Request(vm) => self.schedule_request(vm),
                    Event::Tick(vm) => self.push(self.now + TICK, Event::Tick(vm)),
                    _ => {}
                }
                return;
            }
        }
        self.handle_running(event);
    }

    fn handle_running(&mut self, event: Event) {
        let at = self.at();
        match event {
            Event::Request(vm) => {
                self.schedule_request(vm);
                match self.vms[vm].limits.admit(at, &target()) {
                    Admission::Admitted => self.send_to_server(vm),
                    Admission::Full(_) => {}
                    Admission::Ask(owner, ask) => {
                        let to = (0..self.vms.len())
                            .find(|peer| name(*peer) == owner)
                            .expect("a known VM");
                        self.next_event += 1;
                        let number = self.next_event;
                        self.waiting.insert(number, (vm, self.vms[vm].runs, to, ask.clone()));
                        self.push(self.now + REPLY_TIMEOUT, Event::ReplyTimeout(vm, number));
                        self.send(vm, to, Event::Ask(vm, to, number, ask));
                    }
                }
            }
            Event::Ask(from, to, number, ask) => {
                let reply = self.vms[to].limits.on_ask(at, &ask);
                self.send(to, from, Event::Reply(from, number, reply));
            }
            Event::Reply(vm, number, reply) => self.finish_ask(vm, number, Some(&reply)),
            Event::ReplyTimeout(vm, number) => self.finish_ask(vm, number, None),
            Event::Arrive(vm, sent_at) => {
                let is_cut = self.vms[vm].is_cut || self.now < self.cut_at[vm] + Duration::from_secs(8);
                let told_at = self.vms[vm].told_at;
                self.arrivals.push(Arrival {
                    at: self.now,
                    is_told: told_at.is_some_and(|told_at| told_at + TOLD_DELAY <= self.now),
                    is_cut: is_cut && self.cut_at[vm] > Duration::ZERO,
                });
                let text = self.limit.map(|limit| limit.to_string());
                let stated = Stated::from_values(text.iter().map(|text| Some(text.as_str())));
                let jitter = self.delay(1, 40);
                self.push(jitter + WORK_TIME, Event::Answer(vm, sent_at, stated));
            }
            Event::Answer(vm, sent_at, stated) => {
                if let Stated::Limit(_) = stated {
                    self.vms[vm].told_at.get_or_insert(self.now);
                }
                let sent_at = self.start + Duration::from_secs(100) + sent_at;
                self.vms[vm].limits.on_answer(at, &"server".into(), 1, sent_at, stated);
            }
            Event::Tick(vm) => {
                self.push(self.now + TICK, Event::Tick(vm));
                let rnd = self.rng.random();
                let out = self.vms[vm].limits.on_tick(at, rnd);
                self.send_all(vm, out);
            }
            Event::Msg(from, to, msg) => {
                let (out, _) = self.vms[to].limits.on_msg(at, &name(from), msg, |_| true);
                self.send_all(to, out);
            }
            Event::Notice(vm, peer) => {
                let is_up = self.vms[peer].is_alive && !self.vms[peer].is_paused && !self.vms[peer].is_leaving;
                self.vms[vm].seen[peer] = is_up && self.reaches(vm, peer);
                self.set_view(vm);
            }
            Event::Fault(vm, fault) => self.apply(vm, fault),
            Event::State(limit) => {
                self.limit = limit;
                self.stated.push((self.now, limit));
            }
        }
    }

    fn finish_ask(&mut self, vm: usize, number: u64, reply: Option<&Reply>) {
        let Some((_, runs, owner, ask)) = self.waiting.remove(&number) else {
            return;
        };
        let at = self.at();
        if runs == self.vms[vm].runs
            && self.vms[vm].limits.on_reply(at, &name(owner), &ask, reply) == Admission::Admitted
        {
            self.send_to_server(vm);
        }
    }

    fn send_to_server(&mut self, vm: usize) {
        let at = self.delay(1, 40);
        self.push(at, Event::Arrive(vm, self.now));
    }

    fn send_all(&mut self, from: usize, out: mh_limit::Outbox) {
        for (vm, msg) in out {
            let to = (0..self.vms.len()).find(|peer| name(*peer) == vm).expect("a known VM");
            self.send(from, to, Event::Msg(from, to, msg));
        }
    }

    fn apply(&mut self, vm: usize, fault: Fault) {
        match fault {
            Fault::Leave => {
                self.vms[vm].is_leaving = true;
                self.set_view(vm);
            }
            Fault::Kill => {
                self.vms[vm].is_alive = false;
                self.vms[vm].is_leaving = false;
                self.vms[vm].is_paused = false;
                self.vms[vm].held.clear();
                self.schedule_tick(vm);
                self.schedule_request(vm);
            }
            Fault::Run if self.vms[vm].is_paused => {
                self.vms[vm].is_paused = false;
                for event in std::mem::take(&mut self.vms[vm].held) {
                    self.push(self.now, event);
                }
            }
            Fault::Run => {
                self.vms[vm].is_alive = true;
                self.vms[vm].runs += 1;
                self.vms[vm].limits = Limits::new(name(vm));
                self.set_view(vm);
            }
            Fault::Pause => self.vms[vm].is_paused = self.vms[vm].is_alive,
            Fault::Cut | Fault::Heal => {
                self.vms[vm].is_cut = matches!(fault, Fault::Cut);
                self.cut_at[vm] = self.now;
            }
        }
        // A VM that stopped or is cut off is noticed by its silence, one that returns by its messages.
        let (from_ms, to_ms) = match fault {
            Fault::Run | Fault::Heal | Fault::Leave => (200, 1500),
            Fault::Kill | Fault::Pause | Fault::Cut => (1000, 6000),
        };
        for peer in (0..self.vms.len()).filter(|peer| *peer != vm) {
            let at = self.delay(from_ms, to_ms);
            self.push(at, Event::Notice(peer, vm));
            let at = self.delay(from_ms, to_ms);
            self.push(at, Event::Notice(vm, peer));
        }
    }
}
