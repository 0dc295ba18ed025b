use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Side;
use crate::request_counts::RequestCounts;

/// Each old-version sample moves the median estimate up or down by the estimate divided by this.
const MEDIAN_STEP_DIVISOR: u64 = 32;

/// Result counters of one route in one failure domain at one VM.
#[derive(Debug, Default)]
pub(crate) struct RouteCounters {
    old: AtomicU64,
    new: AtomicU64,
    median_us: AtomicU64,
}

impl RouteCounters {
    /// Counts a sample. A request of either version is slow above `factor` times the old version's median latency.
    pub(crate) fn add(&self, side: Side, ok: bool, latency: Duration, factor: f64) {
        let us = latency.as_micros() as u64;
        let median = self.median_us.load(Ordering::Relaxed);
        let slow = median > 0 && us as f64 > median as f64 * factor;
        let word = RequestCounts::pack_one(ok, slow);
        match side {
            Side::New => self.new.fetch_add(word, Ordering::Relaxed),
            Side::Old => {
                let step = (median / MEDIAN_STEP_DIVISOR).max(1);
                let next = if median == 0 {
                    us.max(1)
                } else if us > median {
                    median + step
                } else {
                    median.saturating_sub(step).max(1)
                };
                self.median_us.store(next, Ordering::Relaxed);
                self.old.fetch_add(word, Ordering::Relaxed)
            }
        };
    }

    /// Old-version samples since the last [`drain`](Self::drain).
    pub(crate) fn old_total(&self) -> u64 {
        RequestCounts::unpack(self.old.load(Ordering::Relaxed)).total
    }

    /// Returns the counts of the old and the new version, in this order, and resets them for the next interval.
    pub(crate) fn drain(&self) -> (RequestCounts, RequestCounts) {
        let old = RequestCounts::unpack(self.old.swap(0, Ordering::Relaxed));
        (old, RequestCounts::unpack(self.new.swap(0, Ordering::Relaxed)))
    }
}
