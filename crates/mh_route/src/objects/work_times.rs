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
    warm_us: AtomicU64,
    cold_us: AtomicU64,
    target_us: u64,
}

impl WorkTimes {
    /// Times of a route whose answers are wanted within `target`.
    pub fn new(target: Duration) -> Self {
        let target_us = micros(target).max(1);
        Self {
            warm_us: AtomicU64::new(target_us / 2),
            cold_us: AtomicU64::new(target_us * 3 / 2),
            target_us,
        }
    }

    /// The latency target in microseconds.
    pub(crate) fn target_us(&self) -> u64 {
        self.target_us
    }

    pub(crate) fn expected_us(&self, warm: bool) -> u64 {
        let warm_us = self.warm_us.load(Ordering::Relaxed);
        if warm {
            warm_us
        } else {
            self.cold_us.load(Ordering::Relaxed).max(warm_us)
        }
    }

    pub(crate) fn observe(&self, warm: bool, sample_us: u64) {
        let mean = if warm { &self.warm_us } else { &self.cold_us };
        let old = mean.load(Ordering::Relaxed);
        mean.store(((WEIGHT - 1) * old + sample_us) / WEIGHT, Ordering::Relaxed);
    }
}
