use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::{Clock, Micros, micros};

/// Credit for one retry.
const CREDIT_UNIT: u64 = 1_000_000;

/// Maximum of accumulated retries, so that a long time without retries does not allow a retry storm.
const MAX_SAVED_RETRIES: u64 = 20;

/// Time without retries after a refusal for lack of capacity, in microseconds.
const PAUSE_US: Micros = 1_000_000;

/// Limits retries to a fixed fraction of the requests plus a minimum rate.
///
/// Only idempotent requests may be retried, and none while the service is short of capacity.
#[derive(Debug)]
pub struct RetryBudget {
    clock: Clock,
    per_request: u64,
    /// Time between two retries at the minimum rate; `None` when that rate is zero.
    min_gap: Option<Micros>,
    max_credit: u64,
    credit: AtomicU64,
    next_min_rate_at: AtomicU64,
    paused_until: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget of `fraction` (0 to 1) retries for each request, and at least `min_rate` retries a second.
    pub fn new(fraction: f64, min_rate: f64, now: Instant) -> Self {
        Self::with_saved(fraction, min_rate, MAX_SAVED_RETRIES as f64, now)
    }

    /// Like [`new`](Self::new), with at most `saved` accumulated retries.
    pub fn with_saved(fraction: f64, min_rate: f64, saved: f64, now: Instant) -> Self {
        let gap = |rate: f64| micros(Duration::from_secs_f64((1.0 / rate).min(3600.0)));
        Self {
            clock: Clock::new(now),
            per_request: (fraction.clamp(0.0, 1.0) * CREDIT_UNIT as f64) as u64,
            min_gap: (min_rate > 0.0).then(|| gap(min_rate)),
            max_credit: (saved.max(0.0) * CREDIT_UNIT as f64) as u64,
            credit: AtomicU64::new(0),
            next_min_rate_at: AtomicU64::new(0),
            paused_until: AtomicU64::new(0),
        }
    }

    /// Counts the first attempt of a request.
    pub fn on_request(&self) {
        let add = |credit: u64| Some((credit + self.per_request).min(self.max_credit));
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok();
    }

    /// Records that a request was refused for lack of capacity.
    pub fn on_no_capacity(&self, now: Instant) {
        self.paused_until
            .fetch_max(self.clock.micros(now) + PAUSE_US, Ordering::Relaxed);
    }

    /// Takes one retry from the budget; `false` means the request must not be retried.
    pub fn try_retry(&self, now: Instant, idempotent: bool) -> bool {
        let now = self.clock.micros(now);
        if !idempotent || now < self.paused_until.load(Ordering::Relaxed) {
            return false;
        }
        let take = |credit: u64| credit.checked_sub(CREDIT_UNIT);
        if self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
        {
            return true;
        }
        let Some(gap) = self.min_gap else { return false };
        let step = |next: u64| (now >= next).then(|| now + gap);
        self.next_min_rate_at
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}
