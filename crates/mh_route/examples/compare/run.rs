use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use mh_route::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::arrivals::{Arrivals, VM_DOMAINS};
use crate::policy::{Choice, Policy, Vm};
use crate::server::{self, Server};
use crate::stats::Stats;

/// Time after which a request without a response has failed.
const DEADLINE_US: u64 = 2_000_000;

/// Period of the load reports, which are this old when they arrive on average.
const REPORT_PERIOD_US: u64 = 1_000_000;

/// Period of the fair admission.
const ADMISSION_PERIOD_US: u64 = 500_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    ArriveAtServer(usize, u32),
    Finish(usize, usize, u32),
    Answer(usize, u32),
    Refusal(usize, u32),
    Break(usize, u32),
    Deadline(usize, u32),
    Report,
    Tick,
    ColdStart,
}

/// Request in progress.
struct ActiveRequest {
    vm: usize,
    /// Number of the current attempt; events of earlier attempts are ignored.
    attempt: u32,
    choice: Option<Choice>,
    sent_us: u64,
    tried: Vec<usize>,
}

struct Run<'a> {
    arrivals: &'a Arrivals,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    active: Vec<Option<ActiveRequest>>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    rng: StdRng,
    stats: Stats,
}

pub fn run(policy: Policy, arrivals: &Arrivals, seconds: u64, seed: u64) -> Stats {
    let epoch = Instant::now();
    let mut run = Run {
        arrivals,
        vms: (0..VM_DOMAINS.len()).map(|i| Vm::new(policy, i, epoch, seed)).collect(),
        servers: (0..server::SLOTS.len())
            .map(|index| Server {
                index,
                ..Server::default()
            })
            .collect(),
        active: (0..arrivals.0.len()).map(|_| None).collect(),
        queue: BinaryHeap::new(),
        order: 0,
        rng: StdRng::seed_from_u64(seed ^ 0xFA17),
        stats: Stats::new(),
    };
    for (id, arrival) in arrivals.0.iter().enumerate() {
        run.at(arrival.at_us, Event::Arrive(id));
    }
    run.at(0, Event::Report);
    run.at(ADMISSION_PERIOD_US, Event::Tick);
    run.at(server::COLD_START_US, Event::ColdStart);
    while let Some(Reverse((now, _, event))) = run.queue.pop() {
        if now > seconds * 1_000_000 + DEADLINE_US {
            break;
        }
        run.handle(event, now);
    }
    run.stats
}

/// One-way delay between two failure domains.
fn delay_us(a: usize, b: usize) -> u64 {
    if a == b {
        200
    } else if a / 2 == b / 2 {
        1_000
    } else {
        12_000
    }
}

impl Run<'_> {
    fn at(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at_us, self.order, event)));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(id) => self.arrive(id, now),
            Event::ArriveAtServer(id, attempt) => self.arrive_at_server(id, attempt, now),
            Event::Finish(server, id, attempt) => self.finish(server, id, attempt, now),
            Event::Answer(id, attempt) => self.answer(id, attempt, now),
            Event::Refusal(id, attempt) => self.end_attempt(id, attempt, Outcome::Shed, now),
            Event::Break(id, attempt) => self.end_attempt(id, attempt, Outcome::Failed, now),
            Event::Deadline(id, attempt) => self.end_attempt(id, attempt, Outcome::TimedOut, now),
            Event::Report => self.report(now),
            Event::Tick => {
                self.vms.iter().for_each(Vm::on_tick);
                self.at(now + ADMISSION_PERIOD_US, Event::Tick);
            }
            Event::ColdStart => self.vms.iter_mut().for_each(|vm| vm.add_cold(now)),
        }
    }

    fn report(&mut self, now: u64) {
        for index in 0..self.servers.len() {
            if Server::is_unreachable(index, now) || (index == server::COLD && now < server::COLD_START_US) {
                continue;
            }
            let reports_falsely = index == server::FALSE_REPORTER && server::FALSE_REPORT_US.contains(&now);
            let in_flight = if reports_falsely {
                0
            } else {
                self.servers[index].in_flight()
            };
            for vm in &mut self.vms {
                vm.on_report(
                    index,
                    LoadReport {
                        healthy: true,
                        in_flight,
                    },
                    now,
                );
            }
        }
        self.at(now + REPORT_PERIOD_US, Event::Report);
    }

    fn arrive(&mut self, id: usize, now: u64) {
        let arrival = &self.arrivals.0[id];
        // Callers of the unreachable domain's VMs use the VMs of the other domain in the region.
        let is_unreachable =
            |vm: usize| VM_DOMAINS[vm] == server::UNREACHABLE_DOMAIN && server::UNREACHABLE_US.contains(&now);
        let vm = if is_unreachable(arrival.vm) {
            arrival.vm + 1
        } else {
            arrival.vm
        };
        self.stats.requested[arrival.org] += 1;
        self.active[id] = Some(ActiveRequest {
            vm,
            attempt: 0,
            choice: None,
            sent_us: now,
            tried: Vec::new(),
        });
        self.send(id, now);
    }

    fn send(&mut self, id: usize, now: u64) {
        let arrival = &self.arrivals.0[id];
        let Some(active) = &mut self.active[id] else { return };
        let Some(choice) = self.vms[active.vm].choose(arrival.org, arrival.idempotent, &active.tried, now) else {
            self.stats.refused += 1;
            self.active[id] = None;
            return;
        };
        let index = choice.server;
        active.attempt += 1;
        active.sent_us = now;
        active.tried.push(index);
        active.choice = Some(choice);
        let (attempt, delay) = (active.attempt, delay_us(VM_DOMAINS[active.vm], server::DOMAINS[index]));
        if Server::is_unreachable(index, now) && now > server::UNREACHABLE_US.start + 1_000_000 {
            self.stats.sent_to_unreachable += 1;
        }
        self.at(now + delay, Event::ArriveAtServer(id, attempt));
        self.at(arrival.at_us + DEADLINE_US, Event::Deadline(id, attempt));
    }

    fn current(&self, id: usize, attempt: u32) -> Option<(usize, u64)> {
        let active = self.active[id].as_ref().filter(|l| l.attempt == attempt)?;
        let index = active.choice.as_ref()?.server;
        Some((index, delay_us(VM_DOMAINS[active.vm], server::DOMAINS[index])))
    }

    fn arrive_at_server(&mut self, id: usize, attempt: u32, now: u64) {
        let Some((index, delay)) = self.current(id, attempt) else {
            return;
        };
        if Server::is_unreachable(index, now) {
            return;
        }
        if index == server::FALSE_REPORTER && server::FALSE_REPORT_US.contains(&now) && self.rng.random_bool(0.8) {
            self.at(now + delay, Event::Break(id, attempt));
        } else if self.servers[index].busy < server::SLOTS[index] {
            self.start(index, id, attempt, now);
        } else if self.servers[index].is_full() {
            self.at(now + delay, Event::Refusal(id, attempt));
        } else {
            self.servers[index].waiting.push_back(id);
        }
    }

    fn start(&mut self, index: usize, id: usize, attempt: u32, now: u64) {
        let server = &mut self.servers[index];
        server.busy += 1;
        let duration = server.duration_us(self.arrivals.0[id].work_us);
        self.at(now + duration, Event::Finish(index, id, attempt));
    }

    fn finish(&mut self, index: usize, id: usize, attempt: u32, now: u64) {
        self.servers[index].busy -= 1;
        if !Server::is_unreachable(index, now)
            && let Some((_, delay)) = self.current(id, attempt)
        {
            self.at(now + delay, Event::Answer(id, attempt));
        }
        while let Some(next) = self.servers[index].waiting.pop_front() {
            // A request that its caller cancelled is not run.
            let attempt = self.active[next].as_ref().map_or(0, |l| l.attempt);
            if self.current(next, attempt).is_some_and(|(at, _)| at == index) {
                self.start(index, next, attempt, now);
                break;
            }
        }
    }

    fn answer(&mut self, id: usize, attempt: u32, now: u64) {
        let arrival = &self.arrivals.0[id];
        if let Some(mut active) = self.active[id].take_if(|l| l.attempt == attempt) {
            let latency = Duration::from_micros(now - active.sent_us);
            if let Some(choice) = active.choice.take() {
                self.vms[active.vm].done(choice, Outcome::Answered { status: 200, latency }, now);
            }
            self.stats.served[arrival.org] += 1;
            self.stats
                .latency
                .record((now - arrival.at_us).max(1))
                .expect("the histogram grows");
        }
    }

    fn end_attempt(&mut self, id: usize, attempt: u32, outcome: Outcome, now: u64) {
        let idempotent = self.arrivals.0[id].idempotent;
        let Some(active) = self.active[id].as_mut().filter(|l| l.attempt == attempt) else {
            return;
        };
        let vm = &mut self.vms[active.vm];
        if let Some(choice) = active.choice.take() {
            vm.done(choice, outcome, now);
        }
        // A request that the server refused has not run, so it may be sent again even if it is not idempotent.
        let not_run = outcome == Outcome::Shed;
        if outcome != Outcome::TimedOut && active.tried.len() < 2 && vm.may_retry(idempotent || not_run, now) {
            self.send(id, now);
            return;
        }
        if not_run {
            self.stats.refused += 1;
        } else {
            self.stats.failed += 1;
        }
        self.active[id] = None;
    }
}
