use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::micros;

/// Time constant of the moving average. Demand that lasts for less than this is absorbed by second choices.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Work of the requests that this VM took for one service.
#[derive(Debug, Default)]
pub struct DemandMeter {
    /// Work since the last call of [`take`](Self::take), in microseconds.
    work_us: AtomicU64,
    /// Moving average of the demand in slots, as the bits of an `f64`.
    mean_bits: AtomicU64,
}

impl DemandMeter {
    /// Counts the predicted work of a request.
    pub fn record(&self, work: Duration) {
        self.work_us.fetch_add(micros(work), Ordering::Relaxed);
    }

    /// Returns the demand in slots, after the work of the last `elapsed` has been added to the average.
    pub fn take(&self, elapsed: Duration) -> f64 {
        let seconds = elapsed.as_secs_f64().max(1e-3);
        let sample = self.work_us.swap(0, Ordering::Relaxed) as f64 / 1e6 / seconds;
        let mean = self.mean();
        let weight = 1.0 - (-seconds / TIME_CONSTANT.as_secs_f64()).exp();
        let next = mean + (sample - mean) * weight;
        self.mean_bits.store(next.to_bits(), Ordering::Relaxed);
        next
    }

    /// Demand in slots at the last call of [`take`](Self::take).
    pub fn mean(&self) -> f64 {
        f64::from_bits(self.mean_bits.load(Ordering::Relaxed))
    }
}
