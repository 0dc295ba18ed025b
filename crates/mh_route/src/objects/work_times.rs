use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::micros;

/// A new sample weighs 1 / `WEIGHT_DIVISOR`; the work of one route varies between requests but drifts slowly.
const WEIGHT_DIVISOR: u64 = 16;

/// Measured work times of one route, at servers that hold the object and at servers that do not.
///
/// Before the first responses they are estimated from the route's latency target, which operators set between the two.
#[derive(Debug)]
pub struct WorkTimes {
    // All in microseconds.
    with_object_us: AtomicU64,
    without_object_us: AtomicU64,
}

impl WorkTimes {
    /// Creates the initial estimates for a route with the latency target `target`.
    pub fn new(target: Duration) -> Self {
        let target = micros(target).max(1);
        Self {
            with_object_us: AtomicU64::new(target / 2),
            without_object_us: AtomicU64::new(target * 3 / 2),
        }
    }

    /// Expected work at a server that holds the object.
    pub fn with_object(&self) -> Duration {
        Duration::from_micros(self.expected_us(true))
    }

    pub(crate) fn expected_us(&self, holds_object: bool) -> u64 {
        let with_object_us = self.with_object_us.load(Ordering::Relaxed);
        if holds_object {
            with_object_us
        } else {
            self.without_object_us.load(Ordering::Relaxed).max(with_object_us)
        }
    }

    pub(crate) fn observe(&self, holds_object: bool, sample_us: u64) {
        let mean = if holds_object {
            &self.with_object_us
        } else {
            &self.without_object_us
        };
        let old = mean.load(Ordering::Relaxed);
        mean.store(
            ((WEIGHT_DIVISOR - 1) * old + sample_us) / WEIGHT_DIVISOR,
            Ordering::Relaxed,
        );
    }
}
