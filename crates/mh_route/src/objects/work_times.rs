use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::micros;

/// A new sample weighs 1 / `WEIGHT_DIVISOR`; the work of one route varies between requests but drifts slowly.
const WEIGHT_DIVISOR: u64 = 16;

/// Measured work times of one route, at servers that hold the object and at servers that do not.
///
/// Before the first responses they are unknown, and no request is predicted to wait or to be late.
#[derive(Debug, Default)]
pub struct WorkTimes {
    // All in microseconds; 0 while unknown.
    with_object_us: AtomicU64,
    without_object_us: AtomicU64,
}

impl WorkTimes {
    /// Creates work times that are known beforehand, with and without the object.
    pub fn new(with_object: Duration, without_object: Duration) -> Self {
        Self {
            with_object_us: AtomicU64::new(micros(with_object)),
            without_object_us: AtomicU64::new(micros(without_object)),
        }
    }

    /// Expected work at a server that holds the object.
    pub fn with_object(&self) -> Duration {
        Duration::from_micros(self.expected_us(true))
    }

    pub(crate) fn expected_us(&self, holds_object: bool) -> u64 {
        let with_object_us = self.with_object_us.load(Ordering::Relaxed);
        let without_object_us = self.without_object_us.load(Ordering::Relaxed);
        if holds_object && with_object_us > 0 {
            with_object_us
        } else {
            without_object_us.max(with_object_us)
        }
    }

    pub(crate) fn observe(&self, holds_object: bool, sample_us: u64) {
        let mean = if holds_object {
            &self.with_object_us
        } else {
            &self.without_object_us
        };
        let next = match mean.load(Ordering::Relaxed) {
            0 => sample_us,
            old => ((WEIGHT_DIVISOR - 1) * old + sample_us) / WEIGHT_DIVISOR,
        };
        mean.store(next.max(1), Ordering::Relaxed);
    }
}
