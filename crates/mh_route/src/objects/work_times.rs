use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::micros;

/// Samples over which the mean is taken; the work of one route varies between requests but drifts slowly.
const SAMPLES: u32 = 16;

/// Measured work times of one route, at servers that hold the object and at servers that do not.
///
/// Before the first responses they are unknown, and no request is predicted to wait or to be late.
#[derive(Debug, Default)]
pub struct WorkTimes {
    with_object: Mean,
    without_object: Mean,
}

impl WorkTimes {
    /// Creates work times that are known beforehand, with and without the object.
    pub fn new(with_object: Duration, without_object: Duration) -> Self {
        Self {
            with_object: Mean::known(with_object),
            without_object: Mean::known(without_object),
        }
    }

    /// Expected work at a server that holds the object.
    pub fn with_object(&self) -> Duration {
        Duration::from_micros(self.expected_us(true))
    }

    pub(crate) fn expected_us(&self, holds_object: bool) -> u64 {
        self.expected(holds_object).us.load(Ordering::Relaxed)
    }

    /// Expected work at a server that holds the object, as far as enough responses show it; else 0. A request is refused for
    /// its work only by this, since the refusals of a wrong guess would keep it from being corrected.
    pub(crate) fn proven_us(&self) -> u64 {
        let mean = self.expected(true);
        if mean.samples.load(Ordering::Relaxed) >= SAMPLES {
            mean.us.load(Ordering::Relaxed)
        } else {
            0
        }
    }

    pub(crate) fn observe(&self, holds_object: bool, sample_us: u64) {
        let mean = if holds_object {
            &self.with_object
        } else {
            &self.without_object
        };
        mean.observe(sample_us);
    }

    /// Returns the mean that applies: without samples the other one, and never a shorter one without the object.
    fn expected(&self, holds_object: bool) -> &Mean {
        let us = |mean: &Mean| mean.us.load(Ordering::Relaxed);
        let is_without =
            us(&self.with_object) == 0 || (!holds_object && us(&self.without_object) > us(&self.with_object));
        if is_without {
            &self.without_object
        } else {
            &self.with_object
        }
    }
}

/// Moving average of samples in microseconds; 0 without any.
///
/// Concurrent updates may lose a sample.
#[derive(Debug, Default)]
struct Mean {
    us: AtomicU64,
    /// Number of samples, up to [`SAMPLES`].
    samples: AtomicU32,
}

impl Mean {
    fn known(time: Duration) -> Self {
        Self {
            us: AtomicU64::new(micros(time)),
            samples: AtomicU32::new(SAMPLES),
        }
    }

    fn observe(&self, sample_us: u64) {
        let samples = (self.samples.load(Ordering::Relaxed) + 1).min(SAMPLES);
        let weight = u64::from(samples);
        let mean = ((weight - 1) * self.us.load(Ordering::Relaxed) + sample_us) / weight;
        self.us.store(mean.max(1), Ordering::Relaxed);
        self.samples.store(samples, Ordering::Relaxed);
    }
}
