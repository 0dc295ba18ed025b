use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::decayed_share::DecayedShare;
use crate::clock::Micros;

/// Half-life of the share of requests in the condition: it is acted upon, and over, within a few seconds.
const HALF_LIFE_US: f64 = 1_000_000.0;

/// Requests that are not in the condition and are added to the measured ones, so that a single one is no reason to act.
const PRIOR: f64 = 8.0;

/// Shares of requests from which, and until which, the condition holds.
const FROM: f64 = 0.25;
const UNTIL: f64 = 0.08;

/// Time after the last request in the condition at which it no longer holds, in microseconds.
const MAX_AGE_US: Micros = 2_000_000;

/// Whether many recent requests are in some condition, with hysteresis.
#[derive(Debug)]
pub(super) struct Condition {
    share: DecayedShare,
    /// Time of the last request in the condition; 0 before it.
    last_at: AtomicU64,
    held: AtomicBool,
}

impl Default for Condition {
    fn default() -> Self {
        Self {
            share: DecayedShare::new(HALF_LIFE_US),
            last_at: AtomicU64::new(0),
            held: AtomicBool::new(false),
        }
    }
}

impl Condition {
    /// Records a request.
    pub(super) fn record(&self, now: Micros, is_in: bool) {
        self.share.record(now, is_in);
        if is_in {
            self.last_at.fetch_max(now, Ordering::Relaxed);
        }
    }

    /// Share of recent requests in the condition.
    pub(super) fn share(&self, now: Micros) -> f64 {
        self.share.share(now, PRIOR)
    }

    /// Whether the condition holds.
    pub(super) fn holds(&self, now: Micros) -> bool {
        let last_at = self.last_at.load(Ordering::Relaxed);
        if last_at == 0 {
            return false;
        }
        let held = self.held.load(Ordering::Relaxed);
        let bound = if held { UNTIL } else { FROM };
        let holds = self.share(now) >= bound && now.saturating_sub(last_at) <= MAX_AGE_US;
        if holds != held {
            self.held.store(holds, Ordering::Relaxed);
        }
        holds
    }
}
