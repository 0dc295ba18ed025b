use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;
use crate::objects::AtomicF64;

/// Share of hits among recent samples, whose weights halve in a fixed time.
///
/// Concurrent updates may lose a sample, which changes the share little.
#[derive(Debug)]
pub(super) struct DecayedShare {
    half_life_us: f64,
    samples: AtomicF64,
    hits: AtomicF64,
    at: AtomicU64,
}

impl DecayedShare {
    pub(super) fn new(half_life_us: f64) -> Self {
        Self {
            half_life_us,
            samples: AtomicF64::new(0.0),
            hits: AtomicF64::new(0.0),
            at: AtomicU64::new(0),
        }
    }

    /// Records one sample.
    pub(super) fn record(&self, now: Micros, is_hit: bool) {
        let factor = self.factor(now);
        self.samples.set(self.samples.get() * factor + 1.0);
        self.hits.set(self.hits.get() * factor + if is_hit { 1.0 } else { 0.0 });
        self.at.fetch_max(now, Ordering::Relaxed);
    }

    /// Share of hits, with `prior` samples that are none.
    pub(super) fn share(&self, now: Micros, prior: f64) -> f64 {
        let factor = self.factor(now);
        let samples = self.samples.get() * factor + prior;
        if samples > 0.0 {
            self.hits.get() * factor / samples
        } else {
            0.0
        }
    }

    /// Hits a second.
    pub(super) fn hits_per_s(&self, now: Micros) -> f64 {
        self.hits.get() * self.factor(now) * std::f64::consts::LN_2 / self.half_life_us * 1e6
    }

    fn factor(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.at.load(Ordering::Relaxed)) as f64;
        (-age / self.half_life_us).exp2()
    }
}
