use std::time::Duration;

use tokio::time::Instant;

use crate::split_mix64::SplitMix64;

/// Exponential backoff with jitter for reads of the table.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    next_attempt_at: Option<Instant>,
}

impl Backoff {
    /// Whether a read is due; the first read is due within `first` of the first call.
    pub fn is_due(&mut self, now: Instant, first: Duration, rng: &mut SplitMix64) -> bool {
        now >= *self
            .next_attempt_at
            .get_or_insert_with(|| now + rng.duration_up_to(first))
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Schedules the next read after one was sent or failed.
    pub fn schedule_next(&mut self, now: Instant, interval: Duration, cap: Duration, rng: &mut SplitMix64) {
        let delay = interval
            .saturating_mul(1 << self.failures.min(16))
            .min(cap.max(interval));
        // Jitter between half and the full delay keeps VMs that failed together from retrying together.
        self.next_attempt_at = Some(now + delay / 2 + rng.duration_up_to(delay / 2));
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }
}
