use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// A new sample of a server's latency weighs 1 / `SERVER_WEIGHT_DIVISOR`; 5 follows a change within about ten requests.
pub(crate) const SERVER_WEIGHT_DIVISOR: u64 = 5;

/// A new sample of the service's latency weighs 1 / `SERVICE_WEIGHT_DIVISOR`. The mean of the service changes much more
/// slowly than that of a server, because it is the estimate for servers without samples: when the server that takes all
/// requests becomes slow, the others must look faster.
pub(crate) const SERVICE_WEIGHT_DIVISOR: u64 = 64;

/// Half-life of the difference between a server's mean and the service's mean without new samples, in microseconds.
const HALF_LIFE_US: f64 = 5_000_000.0;

/// Moving average of observed latency.
#[derive(Debug)]
pub(crate) struct Latency {
    weight_divisor: u64,
    mean_us: AtomicU64,
    at: AtomicU64,
}

impl Latency {
    pub(crate) fn new(weight_divisor: u64) -> Self {
        Self {
            weight_divisor,
            mean_us: AtomicU64::new(0),
            at: AtomicU64::new(0),
        }
    }

    pub(crate) fn observe(&self, sample_us: u64, now: Micros) {
        let sample = sample_us.max(1);
        let step = |mean: u64| {
            Some(if mean == 0 {
                sample
            } else {
                ((self.weight_divisor - 1) * mean + sample) / self.weight_divisor
            })
        };
        self.mean_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .ok();
        self.at.store(now, Ordering::Relaxed);
    }

    /// Mean in microseconds; zero before the first sample.
    pub(crate) fn mean_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }

    /// Time of the last sample.
    pub(crate) fn at(&self) -> Micros {
        self.at.load(Ordering::Relaxed)
    }

    /// Expected latency in microseconds: the mean, which decays towards `prior_us` as the last sample ages.
    ///
    /// Without the decay, a server that was slow once and has got no requests since would never be tried again.
    pub(crate) fn expected_us(&self, prior_us: f64, now: Micros) -> f64 {
        let mean = self.mean_us();
        if mean == 0 {
            return prior_us;
        }
        let age = now.saturating_sub(self.at()) as f64;
        prior_us + (mean as f64 - prior_us) * (-age / HALF_LIFE_US).exp2()
    }
}
