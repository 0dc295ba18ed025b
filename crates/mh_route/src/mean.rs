use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::micros;

/// Samples over which the mean is taken; the measured times vary between requests but drift slowly.
pub(crate) const SAMPLES: u32 = 16;

/// Moving average of samples in microseconds; 0 without any.
///
/// Concurrent updates may lose a sample.
#[derive(Debug, Default)]
pub(crate) struct Mean {
    us: AtomicU64,
    /// Number of samples, up to [`SAMPLES`].
    samples: AtomicU32,
}

impl Mean {
    pub(crate) fn known(time: Duration) -> Self {
        Self {
            us: AtomicU64::new(micros(time)),
            samples: AtomicU32::new(SAMPLES),
        }
    }

    pub(crate) fn us(&self) -> u64 {
        self.us.load(Ordering::Relaxed)
    }

    /// Whether enough samples were taken to rely on the mean.
    pub(crate) fn is_proven(&self) -> bool {
        self.samples.load(Ordering::Relaxed) >= SAMPLES
    }

    pub(crate) fn observe(&self, sample_us: u64) {
        let samples = (self.samples.load(Ordering::Relaxed) + 1).min(SAMPLES);
        let weight = u64::from(samples);
        let mean = ((weight - 1) * self.us() + sample_us) / weight;
        self.us.store(mean.max(1), Ordering::Relaxed);
        self.samples.store(samples, Ordering::Relaxed);
    }
}
