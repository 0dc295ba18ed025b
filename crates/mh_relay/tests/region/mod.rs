//! Simulation of the VMs of one region, with fault injection and a simulated clock.

use std::time::Duration;

use mh_relay::{Election, RelayTimings};
use mh_types::VmName;
use tokio::time::Instant;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(20);

/// Interval between two ticks of a VM.
const TICK: Duration = Duration::from_millis(200);

/// Number of failure domains in the region.
const DOMAINS: usize = 2;

struct SimulatedVm {
    name: VmName,
    election: Election,
    next_tick: Instant,
    next_call: Instant,
    /// Time at which its state was last confirmed as the newest.
    confirmed_at: Instant,
    store_reachable: bool,
    peers_reachable: bool,
    /// Start of the current period in which the VM can reach the store.
    store_reachable_since: Instant,
}

pub struct SimulatedRegion {
    now: Instant,
    vms: Vec<SimulatedVm>,
    timings: RelayTimings,
    store_calls: usize,
}

impl SimulatedRegion {
    pub fn new(count: usize, in_force: Duration) -> Self {
        let now = Instant::now();
        let timings = RelayTimings::for_deadline(in_force);
        let name = |n: usize| VmName::from(format!("vm-{n}").as_str());
        let list = || (0..count).map(|n| (name(n), format!("d{}", Self::domain_of(n)).as_str().into()));
        let vms = (0..count).map(|n| {
            let mut election = Election::new(name(n), timings, now);
            election.set_vms(list(), now);
            SimulatedVm {
                name: name(n),
                election,
                // Spreads the ticks of the VMs over the interval.
                next_tick: now + TICK.mul_f64(n as f64 / count as f64),
                next_call: now,
                confirmed_at: now,
                store_reachable: true,
                peers_reachable: true,
                store_reachable_since: now,
            }
        });
        Self {
            now,
            vms: vms.collect(),
            timings,
            store_calls: 0,
        }
    }

    pub fn domain_of(vm: usize) -> usize {
        vm % DOMAINS
    }

    pub fn readers(&self) -> Vec<usize> {
        (0..self.vms.len())
            .filter(|n| self.vms[*n].election.is_reader())
            .collect()
    }

    pub fn store_calls(&self) -> usize {
        self.store_calls
    }

    pub fn set_store_reachable(&mut self, vm: usize, reachable: bool) {
        if reachable && !self.vms[vm].store_reachable {
            self.vms[vm].store_reachable_since = self.now;
        }
        self.vms[vm].store_reachable = reachable;
    }

    pub fn set_peers_reachable(&mut self, vm: usize, reachable: bool) {
        self.vms[vm].peers_reachable = reachable;
    }

    /// Returns the highest age of the state of a VM that can reach the store, counted from when it became able to at
    /// the earliest.
    pub fn max_state_age(&self) -> Duration {
        let candidates = self.vms.iter().filter(|vm| vm.store_reachable);
        let ages = candidates.map(|vm| (self.now - vm.confirmed_at).min(self.now - vm.store_reachable_since));
        ages.max().unwrap_or_default()
    }

    /// Advances the clock by `time` and returns the highest [`max_state_age`](Self::max_state_age) during it.
    pub fn run(&mut self, time: Duration) -> Duration {
        let end = self.now + time;
        let mut max_age = Duration::ZERO;
        while self.now < end {
            self.now += STEP;
            for n in 0..self.vms.len() {
                self.step(n);
            }
            max_age = max_age.max(self.max_state_age());
        }
        max_age
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        let vm = &mut self.vms[n];
        if now >= vm.next_tick {
            vm.next_tick = now + TICK;
            if vm.election.on_tick(now) && vm.election.is_reader() {
                vm.next_call = now;
            }
        }
        if !vm.election.is_reader() || now < vm.next_call {
            return;
        }
        self.store_calls += 1;
        vm.next_call = now + self.timings.max_read_wait;
        if !vm.store_reachable {
            vm.election.on_read_failed(now);
            let (from, sender_reachable) = (vm.name.clone(), vm.peers_reachable);
            let others = self.vms.iter_mut().filter(|vm| vm.peers_reachable && sender_reachable);
            others.for_each(|other| other.election.on_reader_failed(&from, now));
            return;
        }
        vm.confirmed_at = now;
        if !vm.peers_reachable {
            return;
        }
        let from = vm.name.clone();
        let others = self.vms.iter_mut().filter(|vm| vm.name != from && vm.peers_reachable);
        for other in others {
            other.election.on_report(&from, now);
            other.confirmed_at = now;
        }
    }
}
