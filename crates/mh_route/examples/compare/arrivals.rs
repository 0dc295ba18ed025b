use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::server;

/// Entry VMs, and the failure domain of each; domains 2n and 2n + 1 form region n.
pub const VM_DOMAINS: [usize; 9] = [0, 0, 1, 2, 2, 3, 4, 5, 5];

/// Fraction of the requests that each organisation sends; the first sends several times as many as the others.
pub const ORG_FRACTIONS: [f64; 8] = [0.40, 0.20, 0.14, 0.08, 0.07, 0.05, 0.04, 0.02];

/// One request, independent of the policy.
pub struct Arrival {
    pub at_us: u64,
    pub vm: usize,
    pub org: usize,
    pub idempotent: bool,
    /// Work time at a healthy server with warm caches, in microseconds.
    pub work_us: u64,
}

/// The requests of a run, the same for every policy.
pub struct Arrivals(pub Vec<Arrival>);

impl Arrivals {
    /// Poisson arrivals that keep `load` of all slots busy.
    pub fn generate(load: f64, seconds: u64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let slots: u32 = server::SLOTS.iter().sum();
        let gap_us = server::MEAN_WORK_US / (load * f64::from(slots));
        let mut at = 0.0;
        let mut all = Vec::new();
        while at < seconds as f64 * 1e6 {
            at += exponential(&mut rng, gap_us);
            all.push(Arrival {
                at_us: at as u64,
                vm: rng.random_range(0..VM_DOMAINS.len()),
                org: organisation(rng.random()),
                idempotent: rng.random_bool(0.8),
                work_us: (server::MIN_WORK_US + exponential(&mut rng, server::MEAN_WORK_US - server::MIN_WORK_US))
                    as u64,
            });
        }
        Self(all)
    }
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn organisation(draw: f64) -> usize {
    let mut below = 0.0;
    ORG_FRACTIONS
        .iter()
        .position(|part| {
            below += part;
            draw < below
        })
        .unwrap_or(ORG_FRACTIONS.len() - 1)
}
