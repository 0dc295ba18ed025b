use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::micros;

/// A new sample weighs 1 / `WEIGHT`; the work of one route varies between requests but drifts slowly.
const WEIGHT: u64 = 16;

/// Observed work times of one route, with the object at hand and without.
///
/// Before the first answers they are taken from the route's latency target, which operators set between the two.
#[derive(Debug)]
pub struct WorkTimes {
    // All in microseconds.
    warm: AtomicU64,
    cold: AtomicU64,
}

impl WorkTimes {
    /// Times of a route whose answers are wanted within `target`.
    pub fn new(target: Duration) -> Self {
        let target = micros(target).max(1);
        Self {
            warm: AtomicU64::new(target / 2),
            cold: AtomicU64::new(target * 3 / 2),
        }
    }

    pub(crate) fn expected_us(&self, warm: bool) -> u64 {
        let warm_us = self.warm.load(Ordering::Relaxed);
        if warm {
            warm_us
        } else {
            self.cold.load(Ordering::Relaxed).max(warm_us)
        }
    }

    pub(crate) fn observe(&self, warm: bool, sample_us: u64) {
        let mean = if warm { &self.warm } else { &self.cold };
        let old = mean.load(Ordering::Relaxed);
        mean.store(((WEIGHT - 1) * old + sample_us) / WEIGHT, Ordering::Relaxed);
    }
}
