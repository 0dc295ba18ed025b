//! The VMs of one region, with faults, on a simulated clock.

use std::time::Duration;

use mh_relay::{Election, RelayLimits};
use mh_types::VmName;
use tokio::time::Instant;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(20);

/// Time between two ticks of a VM.
const TICK: Duration = Duration::from_millis(200);

/// Failure domains of the region.
const DOMAINS: usize = 2;

struct Vm {
    name: VmName,
    election: Election,
    next_tick: Instant,
    next_call: Instant,
    /// When what it holds was last known to be the newest.
    news_at: Instant,
    reaches_store: bool,
    reaches_peers: bool,
    /// Since when it reaches the store without a break.
    store_since: Instant,
}

pub struct Region {
    now: Instant,
    vms: Vec<Vm>,
    limits: RelayLimits,
    calls: usize,
}

impl Region {
    pub fn new(count: usize, in_force: Duration) -> Self {
        let now = Instant::now();
        let limits = RelayLimits::within(in_force);
        let name = |n: usize| VmName::from(format!("vm-{n}").as_str());
        let list = || (0..count).map(|n| (name(n), format!("d{}", Self::domain_of(n)).as_str().into()));
        let vms = (0..count).map(|n| {
            let mut election = Election::new(name(n), limits, now);
            election.set_vms(list(), now);
            Vm {
                name: name(n),
                election,
                // Ticks of VMs do not coincide.
                next_tick: now + TICK.mul_f64(n as f64 / count as f64),
                next_call: now,
                news_at: now,
                reaches_store: true,
                reaches_peers: true,
                store_since: now,
            }
        });
        Self {
            now,
            vms: vms.collect(),
            limits,
            calls: 0,
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

    pub fn calls(&self) -> usize {
        self.calls
    }

    pub fn set_store(&mut self, vm: usize, reaches: bool) {
        if reaches && !self.vms[vm].reaches_store {
            self.vms[vm].store_since = self.now;
        }
        self.vms[vm].reaches_store = reaches;
    }

    pub fn set_peers(&mut self, vm: usize, reaches: bool) {
        self.vms[vm].reaches_peers = reaches;
    }

    /// Age of the oldest news of a VM, counted from when it could reach the store.
    pub fn oldest_news(&self) -> Duration {
        let reachable = self.vms.iter().filter(|vm| vm.reaches_store);
        let ages = reachable.map(|vm| (self.now - vm.news_at).min(self.now - vm.store_since));
        ages.max().unwrap_or_default()
    }

    /// Lets time pass; returns the highest [`oldest_news`](Self::oldest_news) in it.
    pub fn run(&mut self, time: Duration) -> Duration {
        let end = self.now + time;
        let mut oldest = Duration::ZERO;
        while self.now < end {
            self.now += STEP;
            for n in 0..self.vms.len() {
                self.step(n);
            }
            oldest = oldest.max(self.oldest_news());
        }
        oldest
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
        self.calls += 1;
        vm.next_call = now + self.limits.wait;
        if !vm.reaches_store {
            vm.election.on_failed_read(now);
            let (from, is_heard) = (vm.name.clone(), vm.reaches_peers);
            let others = self.vms.iter_mut().filter(|vm| vm.reaches_peers && is_heard);
            others.for_each(|other| other.election.on_silent(&from));
            return;
        }
        vm.news_at = now;
        if !vm.reaches_peers {
            return;
        }
        let from = vm.name.clone();
        let others = self.vms.iter_mut().filter(|vm| vm.name != from && vm.reaches_peers);
        for other in others {
            other.election.on_heard(&from, now);
            other.news_at = now;
        }
    }
}
