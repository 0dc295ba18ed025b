use std::sync::atomic::{AtomicU64, Ordering};

use mh_types::OrgName;

use super::{Demand, max_min};

/// Fixed-point unit of the admitted fraction.
const FULL_FRACTION: u64 = 1 << 32;

/// Growth of the admissible requests after a period without a shortage, to find capacity that has become free.
const PROBE_GROWTH_FACTOR: f64 = 1.25;

/// Ratio of refused to served requests above which capacity counts as short; fewer refusals are due to bursts.
const SHORTAGE_THRESHOLD: f64 = 0.02;

/// Admission control that divides a service's capacity max-min fairly among organisations.
///
/// It admits all requests until servers refuse some. A control loop calls [`on_tick`](Self::on_tick) at a fixed period,
/// which divides the capacity measured in the last period among the organisations by their demand.
#[derive(Debug)]
pub struct FairAdmission {
    orgs: Vec<OrgState>,
    served: AtomicU64,
    refused: AtomicU64,
    /// Requests that may be admitted in a period, as the bits of an `f64`; infinite without a limit.
    admissible: AtomicU64,
}

#[derive(Debug)]
struct OrgState {
    name: OrgName,
    weight: f64,
    requested: AtomicU64,
    admitted_fraction: AtomicU64,
}

impl FairAdmission {
    /// Creates an admission control without a limit, for `orgs` with their weights.
    pub fn new(orgs: &[(OrgName, f64)]) -> Self {
        let org = |(name, weight): &(OrgName, f64)| OrgState {
            name: name.clone(),
            weight: *weight,
            requested: AtomicU64::new(0),
            admitted_fraction: AtomicU64::new(FULL_FRACTION),
        };
        Self {
            orgs: orgs.iter().map(org).collect(),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            admissible: AtomicU64::new(f64::INFINITY.to_bits()),
        }
    }

    /// Index of an organisation, to be passed to [`admit`](Self::admit).
    pub fn index(&self, org: &OrgName) -> Option<usize> {
        self.orgs.iter().position(|state| state.name == *org)
    }

    /// Counts a request of the organisation at `index` and returns whether it is admitted; an unknown index always is.
    pub fn admit(&self, index: usize, rnd: u64) -> bool {
        self.orgs.get(index).is_none_or(|org| {
            org.requested.fetch_add(1, Ordering::Relaxed);
            (rnd >> 32) < org.admitted_fraction.load(Ordering::Relaxed)
        })
    }

    /// Counts an admitted request that a server accepted.
    pub fn on_served(&self) {
        self.served.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an admitted request that was refused for lack of capacity.
    pub fn on_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Fraction of the requests of the organisation at `index` that is admitted, 0 to 1.
    pub fn admitted_fraction(&self, index: usize) -> f64 {
        self.orgs.get(index).map_or(1.0, |org| {
            org.admitted_fraction.load(Ordering::Relaxed) as f64 / FULL_FRACTION as f64
        })
    }

    /// Ends a period and computes the admitted fractions for the next one; must be called by a single task.
    pub fn on_tick(&self) {
        let served = self.served.swap(0, Ordering::Relaxed) as f64;
        let is_short = self.refused.swap(0, Ordering::Relaxed) as f64 > served * SHORTAGE_THRESHOLD;
        let demands: Vec<Demand> = self
            .orgs
            .iter()
            .map(|org| Demand {
                amount: org.requested.swap(0, Ordering::Relaxed) as f64,
                weight: org.weight,
            })
            .collect();
        let total_demand: f64 = demands.iter().map(|demand| demand.amount).sum();
        let admissible = if is_short {
            served
        } else {
            f64::from_bits(self.admissible.load(Ordering::Relaxed)) * PROBE_GROWTH_FACTOR
        };
        let admissible = if admissible >= total_demand && !is_short {
            f64::INFINITY
        } else {
            admissible
        };
        self.admissible.store(admissible.to_bits(), Ordering::Relaxed);
        for ((org, demand), allocated) in self
            .orgs
            .iter()
            .zip(&demands)
            .zip(max_min(admissible.min(total_demand), &demands))
        {
            let admitted_fraction = if demand.amount > 0.0 {
                allocated / demand.amount
            } else {
                1.0
            };
            org.admitted_fraction
                .store((admitted_fraction * FULL_FRACTION as f64) as u64, Ordering::Relaxed);
        }
    }
}
