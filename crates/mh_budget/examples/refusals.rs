//! Compares four strategies that enforce one limit over ten VMs by wrongful refusals and messages per request.
//!
//! A refusal is wrongful if a single shared bucket held a token for the request.
//!
//! `cargo run --release -p mh_budget --example refusals -- --seconds 120 --seed 1`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use mh_budget::prelude::*;
use mh_types::{Incarnation, VmName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const VMS: usize = 10;
const DOMAINS: u16 = 6;
/// Ratio of each VM's traffic to that of the VM before it.
const TRAFFIC_RATIO: f64 = 0.6;
const SECOND_US: u64 = 1_000_000;
const TICK_US: u64 = 100_000;
/// Warm-up time before counting starts, in which the shares adapt to the traffic.
const WARM_UP_US: u64 = 20 * SECOND_US;
/// Rate in tokens per second and burst of the eight organisations.
const ORGS: [(f64, f64); 8] = [
    (2.0, 5.0),
    (10.0, 20.0),
    (30.0, 45.0),
    (60.0, 60.0),
    (120.0, 120.0),
    (250.0, 250.0),
    (500.0, 500.0),
    (1_000.0, 1_000.0),
];

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    SharedBucket,
    FixedParts,
    FetchToken,
    Lending,
}

#[derive(Clone, Copy, Default)]
struct Count {
    requests: u64,
    refused: u64,
    wrongful: u64,
    cut_off_requests: u64,
    cut_off_wrongful: u64,
    messages: u64,
}

/// When a request arrived, and whether the reference bucket held a token then.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ArrivalRecord {
    at: u64,
    had_token: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Tick(usize),
    Message(usize),
    PeerAsk {
        to: usize,
        from: usize,
        asked: u8,
        arrival: ArrivalRecord,
    },
    PeerAnswer {
        to: usize,
        at_vm: usize,
        answer: Option<(bool, u64)>,
        asked: u8,
        arrival: ArrivalRecord,
    },
}

#[derive(Clone, Copy)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: 0,
        }
    }

    fn holds_one(&mut self, now: u64) -> bool {
        let seconds = (now - self.at) as f64 / SECOND_US as f64;
        self.level = (self.level + seconds * self.rate).min(self.burst);
        self.at = now;
        self.level >= 1.0
    }

    fn take(&mut self, now: u64) -> bool {
        let holds = self.holds_one(now);
        self.level -= f64::from(u8::from(holds));
        holds
    }
}

struct Simulation {
    strategy: Strategy,
    rate: f64,
    load: f64,
    has_partition: bool,
    rng: StdRng,
    now: u64,
    seq: u64,
    origin: Instant,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    messages: Vec<(usize, usize, Msg)>,
    holders: Vec<BudgetHolder>,
    fixed_parts: Vec<Bucket>,
    /// Exact bucket for all VMs, which is charged for every admitted request.
    reference: Bucket,
    count: Count,
}

fn vm_name(vm: usize) -> VmName {
    VmName::from(format!("vm-{vm}"))
}

fn domain(vm: usize) -> usize {
    vm % usize::from(DOMAINS)
}

impl Simulation {
    fn new(strategy: Strategy, (rate, burst): (f64, f64), load: f64, has_partition: bool, seed: u64) -> Self {
        let budget = Arc::new(Budget::new("org/team/name".into(), rate, burst).expect("valid budget"));
        let origin = Instant::now();
        let domain_name = |vm| format!("domain-{}", domain(vm)).as_str().into();
        let mut holders: Vec<BudgetHolder> = (0..VMS)
            .map(|vm| {
                let identity = Arc::new(VmIdentity {
                    vm: vm_name(vm),
                    domain: domain_name(vm),
                    incarnation: Incarnation(1),
                });
                let settings = Arc::new(LendingSettings::default());
                BudgetHolder::new(origin, identity, Arc::clone(&budget), settings, DOMAINS, vm as u64 * 7)
            })
            .collect();
        let division = holders[0].division();
        let owner = |slot: u16| match division {
            Division::Undivided => 0,
            Division::Divided { per_domain, .. } => {
                // A domain's slots alternate between its VMs.
                let domain = usize::from(slot / per_domain);
                let other = domain + usize::from(DOMAINS);
                if other < VMS && slot % per_domain % 2 == 1 {
                    other
                } else {
                    domain
                }
            }
        };
        let mut owners: Vec<usize> = (0..division.slots()).map(owner).collect();
        for (slot, vm) in (0..).zip(&owners) {
            holders[*vm].adopt_slots(origin, origin, &std::iter::once(slot).collect(), Adoption::New);
        }
        owners.sort_unstable();
        owners.dedup();
        let list = owners.iter().map(|vm| Owner {
            vm: vm_name(*vm),
            domain: domain_name(*vm),
        });
        let owners: Arc<Owners> = Arc::new(list.collect());
        for holder in &mut holders {
            holder.set_owners(origin, Arc::clone(&owners));
        }
        let part = 1.0 / VMS as f64;
        let mut simulation = Self {
            strategy,
            rate,
            load,
            has_partition,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            origin,
            events: BinaryHeap::new(),
            messages: Vec::new(),
            holders,
            fixed_parts: vec![Bucket::new(rate * part, burst * part); VMS],
            reference: Bucket::new(rate, burst),
            count: Count::default(),
        };
        for vm in 0..VMS {
            simulation.next_arrival(vm);
            if strategy == Strategy::Lending {
                simulation.push(vm as u64 * TICK_US / VMS as u64, Event::Tick(vm));
            }
        }
        simulation
    }

    fn run(mut self, seconds: u64) -> Count {
        let end = WARM_UP_US + seconds * SECOND_US;
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < end
        {
            self.now = at;
            self.on_event(&event);
        }
        self.count
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn clock(&self) -> Instant {
        self.origin + Duration::from_micros(self.now)
    }

    fn next_arrival(&mut self, vm: usize) {
        let part = TRAFFIC_RATIO.powf(vm as f64) * (1.0 - TRAFFIC_RATIO) / (1.0 - TRAFFIC_RATIO.powf(VMS as f64));
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (self.rate * self.load * part);
        self.push(self.now + (gap * 1e6) as u64 + 1, Event::Arrival(vm));
    }

    /// Delay between two VMs: 1 ms in a region, 12 ms between regions; regions have two failure domains.
    fn delay(a: usize, b: usize) -> u64 {
        if domain(a) / 2 == domain(b) / 2 { 1_000 } else { 12_000 }
    }

    /// Whether `vm` is in the second failure domain, which is cut off from the others from the middle of the warm-up
    /// on.
    fn is_cut_off(&self, vm: usize) -> bool {
        self.has_partition && self.now > WARM_UP_US / 2 && domain(vm) == 1
    }

    fn is_lost(&self, a: usize, b: usize) -> bool {
        self.is_cut_off(a) != self.is_cut_off(b)
    }

    fn count_message(&mut self) {
        self.count.messages += u64::from(self.now > WARM_UP_US);
    }

    fn send(&mut self, from: usize, out: impl IntoIterator<Item = Outgoing>) {
        for outgoing in out {
            self.count_message();
            let to = (0..VMS).find(|vm| vm_name(*vm) == outgoing.to).expect("a simulated VM");
            if !self.is_lost(from, to) {
                self.messages.push((from, to, outgoing.msg));
                self.push(
                    self.now + Self::delay(from, to),
                    Event::Message(self.messages.len() - 1),
                );
            }
        }
    }

    fn finish(&mut self, vm: usize, admitted: bool, arrival: ArrivalRecord) {
        let holds = self.reference.holds_one(self.now) && arrival.had_token;
        if arrival.at < WARM_UP_US {
            return;
        }
        let count = &mut self.count;
        let wrongful = u64::from(!admitted && holds);
        count.refused += u64::from(!admitted);
        if self.has_partition && domain(vm) == 1 {
            count.cut_off_requests += 1;
            count.cut_off_wrongful += wrongful;
        } else {
            count.requests += 1;
            count.wrongful += wrongful;
        }
    }

    fn charge(&mut self) {
        assert!(
            self.reference.take(self.now) || self.reference.level > -1e-6,
            "more admitted than the budget allows"
        );
    }

    fn on_decision(&mut self, vm: usize, decision: Decision, asked: u8, arrival: ArrivalRecord) {
        match decision {
            Decision::Admit => {
                self.charge();
                self.finish(vm, true, arrival);
            }
            Decision::Refuse { .. } => self.finish(vm, false, arrival),
            Decision::AskPeer(peer) => {
                let to = (0..VMS).find(|vm| vm_name(*vm) == peer).expect("a simulated VM");
                self.ask(vm, to, asked + 1, arrival);
            }
        }
    }

    fn ask(&mut self, from: usize, to: usize, asked: u8, arrival: ArrivalRecord) {
        self.count_message();
        let at = self.now + Self::delay(from, to);
        if self.is_lost(from, to) {
            self.push(
                at + 50_000,
                Event::PeerAnswer {
                    to: from,
                    at_vm: to,
                    answer: None,
                    asked,
                    arrival,
                },
            );
        } else {
            self.push(
                at,
                Event::PeerAsk {
                    to,
                    from,
                    asked,
                    arrival,
                },
            );
        }
    }

    fn on_event(&mut self, event: &Event) {
        let now = self.clock();
        match *event {
            Event::Arrival(vm) => {
                self.next_arrival(vm);
                let arrival = ArrivalRecord {
                    at: self.now,
                    had_token: self.reference.holds_one(self.now),
                };
                match self.strategy {
                    Strategy::SharedBucket => {
                        let admitted = self.reference.take(self.now);
                        self.finish(vm, admitted, arrival);
                    }
                    Strategy::FixedParts => {
                        let admitted = self.fixed_parts[vm].take(self.now);
                        if admitted {
                            self.charge();
                        }
                        self.finish(vm, admitted, arrival);
                    }
                    Strategy::FetchToken => {
                        // Every VM has a tenth of the budget; if it is used up, the VM asks a random other VM for a
                        // token.
                        let own = self.fixed_parts[vm].take(self.now);
                        if own {
                            self.charge();
                            self.finish(vm, true, arrival);
                        } else {
                            let to = self.rng.random_range(1..VMS);
                            self.ask(vm, (vm + to) % VMS, 1, arrival);
                        }
                    }
                    Strategy::Lending => {
                        let decision = self.holders[vm].limiter().decide(|| now, 1);
                        self.on_decision(vm, decision, 0, arrival);
                    }
                }
            }
            Event::Tick(vm) => {
                let out = self.holders[vm].on_tick(now);
                self.send(vm, out);
                self.push(self.now + TICK_US, Event::Tick(vm));
            }
            Event::Message(index) => {
                let (from, to, msg) = self.messages[index].clone();
                let out = self.holders[to].on_msg(now, &vm_name(from), &msg);
                self.send(to, out);
            }
            Event::PeerAsk {
                to,
                from,
                asked,
                arrival,
            } => {
                self.count_message();
                let (admitted, level) = if self.strategy == Strategy::FetchToken {
                    (self.fixed_parts[to].take(self.now), 0)
                } else {
                    let answer = self.holders[to].limiter().decide_for_peer(|| now, 1);
                    (answer.admitted, answer.level)
                };
                if admitted {
                    self.charge();
                }
                let at = self.now + Self::delay(to, from);
                let answer = (!self.is_lost(to, from)).then_some((admitted, level));
                self.push(
                    at,
                    Event::PeerAnswer {
                        to: from,
                        at_vm: to,
                        answer,
                        asked,
                        arrival,
                    },
                );
            }
            Event::PeerAnswer {
                to,
                at_vm,
                answer,
                asked,
                arrival,
            } => {
                let admitted = answer.is_some_and(|(admitted, _)| admitted);
                if self.strategy == Strategy::Lending {
                    let limiter = self.holders[to].limiter().clone();
                    let answer = answer.map(|(admitted, level)| Answer { admitted, level });
                    limiter.on_answer(&vm_name(at_vm), answer);
                    if !admitted {
                        let decision = limiter.decide_again(|| now, 1, asked);
                        self.on_decision(to, decision, asked, arrival);
                        return;
                    }
                }
                self.finish(to, admitted, arrival);
            }
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let arg = |name: &str, default: u64| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1))
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    let (seconds, seed) = (arg("--seconds", 120), arg("--seed", 1));
    println!(
        "Wrongful refusals in % of requests, then messages per request. `unused` is the part of the rate in % that"
    );
    println!("was not admitted although ten times as much was asked for; `cut` is the cut-off domain's part.\n");
    println!("| case | rate/burst | whole | static | fetch | lending | fetch msg | lending msg |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    let cases = [
        ("load 0.5", 0.5, false),
        ("load 0.8", 0.8, false),
        ("load 0.95", 0.95, false),
        ("ten times", 10.0, false),
        ("cut, load 0.5", 0.5, true),
        ("cut, load 0.8", 0.8, true),
    ];
    for (name, load, has_partition) in cases {
        for org in ORGS {
            let count = |strategy| Simulation::new(strategy, org, load, has_partition, seed).run(seconds);
            let [whole, fixed, fetch, lending] = [
                Strategy::SharedBucket,
                Strategy::FixedParts,
                Strategy::FetchToken,
                Strategy::Lending,
            ]
            .map(count);
            let unused = |count: Count| {
                let admitted = (count.requests + count.cut_off_requests - count.refused) as f64;
                format!(
                    "unused {:.2}",
                    100.0 * (1.0 - admitted / (org.0 * seconds as f64)).max(0.0)
                )
            };
            let percent = |count: Count| {
                if load > 1.0 {
                    return unused(count);
                }
                let share = |part: u64, all: u64| 100.0 * part as f64 / all.max(1) as f64;
                let cut_part = if has_partition {
                    format!(" (cut {:.2})", share(count.cut_off_wrongful, count.cut_off_requests))
                } else {
                    String::new()
                };
                format!("{:.3}{cut_part}", share(count.wrongful, count.requests))
            };
            let messages =
                |count: Count| count.messages as f64 / (count.requests + count.cut_off_requests).max(1) as f64;
            println!(
                "| {name} | {}/{} | {} | {} | {} | {} | {:.3} | {:.3} |",
                org.0,
                org.1,
                percent(whole),
                percent(fixed),
                percent(fetch),
                percent(lending),
                messages(fetch),
                messages(lending),
            );
        }
    }
}
