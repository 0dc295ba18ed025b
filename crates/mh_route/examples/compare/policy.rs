use std::time::Duration;

use mh_route::fair::FairAdmission;
use mh_route::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::arrivals::{ORG_FRACTIONS, VM_DOMAINS};
use crate::server;

/// A report older than this counts as a failed health check for the simple policies.
const HEALTH_TIMEOUT_US: u64 = 3_000_000;

/// Policy for the choice of a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Random,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
    Pool,
    FairPool,
}

impl Policy {
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
        Self::Pool,
        Self::FairPool,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
            Self::TwoChoices => "power of two choices",
            Self::Pool => "pool",
            Self::FairPool => "pool and fair admission",
        }
    }
}

/// Chosen server; `pick` is set if the pool chose it.
pub struct Choice {
    pub server: usize,
    pub pick: Option<Pick>,
}

/// State of one VM under one policy.
pub struct Vm {
    policy: Policy,
    epoch: Instant,
    rng: StdRng,
    share: SlotFractions,
    pool: Pool,
    retries: RetryBudget,
    admission: FairAdmission,
    hidden_server: usize,
    round_robin_next: usize,
    in_flight: [u32; 13],
    healthy_at: [u64; 13],
}

fn name(index: usize) -> String {
    format!("s{index}")
}

fn specs(with_cold: bool) -> Vec<ServerSpec> {
    (0..server::SLOTS.len())
        .filter(|i| with_cold || *i != server::COLD)
        .map(|i| ServerSpec {
            name: name(i).into(),
            addr: ([127, 0, 0, 1], 8000 + i as u16).into(),
            domain: format!("d{}", server::DOMAINS[i]).into(),
            region: format!("r{}", server::DOMAINS[i] / 2).into(),
            version: "v1".into(),
            slots: server::SLOTS[i],
            connections: 340,
        })
        .collect()
}

impl Vm {
    pub fn new(policy: Policy, index: usize, epoch: Instant, seed: u64) -> Self {
        let domain = VM_DOMAINS[index];
        let count = |same: &dyn Fn(usize) -> bool| VM_DOMAINS.iter().filter(|d| same(**d)).count();
        let location = VmLocation {
            domain: format!("d{domain}").into(),
            region: format!("r{}", domain / 2).into(),
        };
        let orgs: Vec<_> = (0..ORG_FRACTIONS.len())
            .map(|i| (format!("team/o{i}").into(), 1.0))
            .collect();
        Self {
            policy,
            epoch,
            rng: StdRng::seed_from_u64(seed ^ index as u64),
            share: SlotFractions::even(
                count(&|d| d == domain),
                count(&|d| d / 2 == domain / 2),
                VM_DOMAINS.len(),
            ),
            pool: Pool::new(&location, &specs(false), epoch),
            retries: RetryBudget::new(0.2, 1.0, epoch),
            admission: FairAdmission::new(&orgs),
            hidden_server: server::COLD,
            round_robin_next: index,
            in_flight: [0; 13],
            healthy_at: [0; 13],
        }
    }

    fn now(&self, at_us: u64) -> Instant {
        self.epoch + Duration::from_micros(at_us)
    }

    /// Adds the cold server, as when it appears in the server list.
    pub fn add_cold(&mut self, at_us: u64) {
        self.hidden_server = usize::MAX;
        self.healthy_at[server::COLD] = at_us;
        self.pool = self.pool.with_servers(&specs(true), self.now(at_us));
    }

    pub fn on_report(&mut self, index: usize, report: LoadReport, at_us: u64) {
        self.healthy_at[index] = at_us;
        self.pool
            .on_report(&name(index).into(), &report, Duration::ZERO, self.now(at_us));
    }

    pub fn on_tick(&self) {
        self.admission.on_tick();
    }

    pub fn choose(&mut self, org: usize, idempotent: bool, tried: &[usize], at_us: u64) -> Option<Choice> {
        if matches!(self.policy, Policy::Pool | Policy::FairPool) {
            return self.choose_by_pool(org, idempotent, tried, at_us);
        }
        let usable = |i: &usize| {
            *i != self.hidden_server && !tried.contains(i) && at_us < self.healthy_at[*i] + HEALTH_TIMEOUT_US
        };
        let usable: Vec<usize> = (0..server::SLOTS.len()).filter(usable).collect();
        if usable.is_empty() {
            return None;
        }
        let load = |i: usize| f64::from(self.in_flight[i]) / f64::from(server::SLOTS[i]);
        let server = match self.policy {
            Policy::Random => usable[self.rng.random_range(0..usable.len())],
            Policy::RoundRobin => {
                self.round_robin_next += 1;
                usable[self.round_robin_next % usable.len()]
            }
            Policy::LeastInFlight => {
                let start = self.rng.random_range(0..usable.len());
                let rotated = usable.iter().cycle().skip(start).take(usable.len());
                rotated.copied().min_by(|a, b| load(*a).total_cmp(&load(*b)))?
            }
            _ => {
                let a = usable[self.rng.random_range(0..usable.len())];
                let b = usable[self.rng.random_range(0..usable.len())];
                if load(a) <= load(b) { a } else { b }
            }
        };
        self.in_flight[server] += 1;
        Some(Choice { server, pick: None })
    }

    fn choose_by_pool(&mut self, org: usize, idempotent: bool, tried: &[usize], at_us: u64) -> Option<Choice> {
        let now = self.now(at_us);
        let fair = self.policy == Policy::FairPool;
        let first = tried.is_empty();
        if first {
            self.retries.on_request();
            if fair && !self.admission.admit(org, self.rng.random()) {
                return None;
            }
        }
        let exclude: Vec<_> = tried.iter().map(|i| name(*i).into()).collect();
        let request = PickRequest {
            exclude: &exclude,
            idempotent,
            share: self.share,
            ..PickRequest::default()
        };
        match self.pool.pick(now, &request, self.rng.random()) {
            Ok(pick) => {
                if first {
                    self.admission.on_served();
                }
                let server = pick.spec().name.as_str()[1..].parse().ok()?;
                Some(Choice {
                    server,
                    pick: Some(pick),
                })
            }
            Err(error) => {
                if error == PickError::NoCapacity {
                    self.retries.on_no_capacity(now);
                    self.admission.on_refused();
                }
                None
            }
        }
    }

    pub fn done(&mut self, choice: Choice, outcome: Outcome, at_us: u64) {
        match choice.pick {
            Some(pick) => pick.done(self.now(at_us), outcome),
            None => self.in_flight[choice.server] -= 1,
        }
    }

    /// Whether the request may be sent again; the simple policies always retry once.
    pub fn may_retry(&self, idempotent: bool, at_us: u64) -> bool {
        match self.policy {
            Policy::Pool | Policy::FairPool => self.retries.try_retry(self.now(at_us), idempotent),
            _ => idempotent,
        }
    }
}
