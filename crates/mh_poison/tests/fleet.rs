//! A deadly request in a simulated fleet: several VMs, lost messages, restarts and cuts.

use std::collections::HashSet;
use std::time::Duration;

use mh_poison::{AnsweredTable, CrashGuard, Fingerprint, Msg, ServerRun};
use mh_types::VmName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Time between two ticks of a VM.
const TICK: Duration = Duration::from_millis(200);

/// Time after the third crash from which on the bound counts.
const SETTLE: Duration = Duration::from_secs(3);

/// Most requests that may reach servers after that time.
const MAX_LATE_ARRIVALS: usize = 3;

struct Vm {
    guard: CrashGuard,
    answered: AnsweredTable,
    /// Time of the latest start; a VM that has just started does not count.
    started: Instant,
    /// Side of a cut.
    side: u8,
}

struct Fleet {
    vms: Vec<Vm>,
    now: Instant,
    rng: StdRng,
    loss: f64,
    in_flight: Vec<(Instant, usize, usize, Msg)>,
    server_runs: u64,
    crashes: Vec<Instant>,
    late_arrivals: usize,
}

fn name(n: usize) -> VmName {
    format!("vm-{n}").as_str().into()
}

impl Fleet {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let now = Instant::now();
        let vm = |n| Vm {
            guard: CrashGuard::new(name(n)),
            answered: AnsweredTable::new(now),
            started: now,
            side: 0,
        };
        let mut fleet = Self {
            vms: (0..count).map(vm).collect(),
            now,
            rng: StdRng::seed_from_u64(seed),
            loss,
            in_flight: Vec::new(),
            server_runs: 0,
            crashes: Vec::new(),
            late_arrivals: 0,
        };
        fleet.update_views();
        fleet
    }

    /// Tells each VM the VMs of its side.
    fn update_views(&mut self) {
        for n in 0..self.vms.len() {
            let side = self.vms[n].side;
            let seen = (0..self.vms.len()).filter(|other| self.vms[*other].side == side);
            let seen = seen.map(name).collect();
            self.vms[n].guard.set_vms(seen);
        }
    }

    fn restart(&mut self, n: usize) {
        self.vms[n].guard = CrashGuard::new(name(n));
        self.vms[n].answered = AnsweredTable::new(self.now);
        self.vms[n].started = self.now;
        self.update_views();
    }

    fn send(&mut self, from: usize, out: Vec<(VmName, Msg)>) {
        for (to, msg) in out {
            let to = (0..self.vms.len()).find(|n| name(*n) == to).expect("a VM of the fleet");
            let is_lost = self.rng.random_bool(self.loss) || self.vms[from].side != self.vms[to].side;
            if !is_lost {
                let at = self.now + Duration::from_millis(self.rng.random_range(1..30));
                self.in_flight.push((at, from, to, msg));
            }
        }
    }

    /// Advances the time by `time`, and delivers messages and ticks.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            let now = self.now;
            let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, _, to, msg) in due {
                let vm = &mut self.vms[to];
                let out = vm.guard.on_msg(now, msg, &vm.answered);
                self.send(to, out);
            }
            if (now - self.vms[0].started).as_millis().is_multiple_of(TICK.as_millis()) {
                for n in 0..self.vms.len() {
                    let rnd = self.rng.random();
                    let out = self.vms[n].guard.on_tick(now, rnd);
                    self.send(n, out);
                }
            }
        }
    }

    /// Sends a request that crashes its server at the VM `n`, beside the requests `beside`; returns whether it was
    /// admitted.
    fn send_deadly(&mut self, n: usize, deadly: Fingerprint, beside: &[Fingerprint]) -> bool {
        if self.vms[n].guard.admit(self.now, &deadly).is_err() {
            return false;
        }
        let is_in_touch = self.now >= self.vms[n].started + SETTLE;
        let is_late = self.crashes.get(2).is_some_and(|third| self.now > *third + SETTLE);
        self.late_arrivals += usize::from(is_late && is_in_touch);
        self.advance(Duration::from_millis(60));
        self.crashes.push(self.now);
        self.server_runs += 1;
        let mut lost = beside.to_vec();
        lost.push(deadly);
        let vm = &mut self.vms[n];
        let out = vm
            .guard
            .on_crash(self.now, ServerRun::new("s", self.server_runs), &lost, &vm.answered);
        self.send(n, out);
        true
    }

    fn random_vm(&mut self) -> usize {
        self.rng.random_range(0..self.vms.len())
    }
}

fn request(text: &str) -> Fingerprint {
    Fingerprint::of(&[text.as_bytes()])
}

/// Guards against a request that goes on crashing servers because each VM sees too few of its crashes, because messages
/// are lost, or because VMs restart.
#[test]
fn a_deadly_request_is_stopped_over_all_vms() {
    for seed in 0..60 {
        let count = [2, 4, 10, 60][seed as usize % 4];
        let mut fleet = Fleet::new(count, 0.1, seed);
        let deadly = request("deadly");

        for round in 0..150 {
            let n = fleet.random_vm();
            fleet.send_deadly(n, deadly, &[]);
            let pause = fleet.rng.random_range(20..600);
            fleet.advance(Duration::from_millis(pause));
            // Once in a while a VM restarts; not all at once, since then nothing remembers.
            if round % 9 == 8 {
                let n = fleet.random_vm();
                fleet.restart(n);
            }
        }

        assert!(
            fleet.late_arrivals <= MAX_LATE_ARRIVALS,
            "seed {seed}, {count} VMs: {} late arrivals, {} crashes",
            fleet.late_arrivals,
            fleet.crashes.len()
        );
    }
}

/// Guards against a cut after which the VMs of the other side learn nothing of a quarantine.
#[test]
fn a_deadly_request_is_stopped_after_a_cut() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(10, 0.05, seed);
        let deadly = request("deadly");
        for vm in &mut fleet.vms[..3] {
            vm.side = 1;
        }
        fleet.update_views();
        for _ in 0..40 {
            fleet.send_deadly(7, deadly, &[]);
            fleet.advance(Duration::from_millis(200));
        }
        let before = fleet.crashes.len();

        for vm in &mut fleet.vms {
            vm.side = 0;
        }
        fleet.update_views();
        fleet.advance(SETTLE);
        for _ in 0..40 {
            let n = fleet.random_vm();
            fleet.send_deadly(n, deadly, &[]);
            fleet.advance(Duration::from_millis(100));
        }

        assert_eq!(fleet.crashes.len(), before, "seed {seed}");
        assert!(before <= 4, "seed {seed}: {before} crashes");
    }
}

/// Guards against refusing requests that ran beside deadly ones, and against refusing popular requests, which are in
/// flight at most servers that crash.
#[test]
fn other_requests_stay_admitted() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(10, 0.1, seed);
        let popular = request("popular");
        let mut once: HashSet<Fingerprint> = HashSet::new();

        for round in 0..120 {
            let deadly = request(&format!("deadly {}", round / 30));
            let n = fleet.random_vm();
            let neighbour = request(&format!("neighbour {round}"));
            once.insert(neighbour);
            fleet.send_deadly(n, deadly, &[popular, neighbour]);
            let answering = fleet.random_vm();
            let now = fleet.now;
            let vm = &mut fleet.vms[answering];
            vm.answered.record(now, &popular);
            let out = vm.guard.on_answer(&popular);
            fleet.send(answering, out);
            fleet.advance(Duration::from_millis(300));
        }
        fleet.advance(Duration::from_secs(2));

        let now = fleet.now;
        for vm in &fleet.vms {
            assert!(vm.guard.admit(now, &popular).is_ok(), "seed {seed}");
            assert!(
                once.iter().all(|request| vm.guard.admit(now, request).is_ok()),
                "seed {seed}"
            );
        }
    }
}
