use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::clock::Micros;

/// Wait before the first trial, in microseconds; it doubles with each failed trial.
const FIRST_WAIT_US: Micros = 500_000;

/// Longest wait before a trial, in microseconds.
const MAX_WAIT_US: Micros = 8_000_000;

/// Factor on the wait for a server that sent load reports earlier and has sent none since its breaker tripped: it is
/// most likely unreachable, and a trial would cost a caller's request.
const NO_REPORT_WAIT_FACTOR: Micros = 4;

/// Time after which a trial without an outcome no longer blocks the next trial, in microseconds.
const TRIAL_TIMEOUT_US: Micros = 2_000_000;

/// Time over which a recovered server returns to its full share of the load, in microseconds.
pub(crate) const RECOVERY_RAMP_US: Micros = 5_000_000;

/// Time over which a new server reaches its full share of the load, in microseconds, because its caches are cold.
pub(crate) const COLD_RAMP_US: Micros = 10_000_000;

/// Fraction of the full load that a ramp starts with.
const RAMP_START_FRACTION: f64 = 0.1;

/// State of a [`Breaker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BreakerState {
    /// Requests pass; the number is the fraction of the full load, below 1 during a ramp.
    Passing(f64),
    /// One request may test whether the server works again.
    HalfOpen,
    /// No request passes.
    Tripped,
}

/// Reason why a breaker tripped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TripCause {
    /// Requests failed.
    Failures,
    /// Requests went unanswered for too long; a response soon afterwards shows that the server was only slow.
    Silence,
}

/// Circuit breaker of a server or a failure domain.
///
/// Once tripped, it lets one trial request through after a wait; a successful one lets traffic pass again, with a ramp.
#[derive(Debug)]
pub(crate) struct Breaker {
    /// Consecutive failures that trip the breaker.
    threshold: u32,
    failures: AtomicU32,
    tripped_at: AtomicU64,
    /// Trips and failed trials, each of which doubles the wait; reset by an answer after the end of the ramp.
    consecutive_trips: AtomicU32,
    trial_at: AtomicU64,
    ramp_start: AtomicU64,
    ramp_us: AtomicU64,
    tripped_by_silence: AtomicBool,
}

impl Breaker {
    pub(crate) fn new(threshold: u32) -> Self {
        Self {
            threshold,
            failures: AtomicU32::new(0),
            tripped_at: AtomicU64::new(0),
            consecutive_trips: AtomicU32::new(0),
            trial_at: AtomicU64::new(0),
            ramp_start: AtomicU64::new(0),
            ramp_us: AtomicU64::new(RECOVERY_RAMP_US),
            tripped_by_silence: AtomicBool::new(false),
        }
    }

    /// State at `now`; `reported_at` is the time of the last load report, zero if there has been none.
    pub(crate) fn state(&self, now: Micros, reported_at: Micros) -> BreakerState {
        let tripped_at = self.tripped_at.load(Ordering::Acquire);
        if tripped_at == 0 {
            return BreakerState::Passing(self.ramp(now));
        }
        // The limit keeps the shift from overflowing; the wait reaches `MAX_WAIT_US` after 4 doublings.
        let doublings = self.consecutive_trips.load(Ordering::Relaxed).saturating_sub(1).min(8);
        let mut wait = (FIRST_WAIT_US << doublings).min(MAX_WAIT_US);
        if reported_at != 0 && reported_at <= tripped_at {
            wait = (wait * NO_REPORT_WAIT_FACTOR).min(MAX_WAIT_US);
        }
        let trial_at = self.trial_at.load(Ordering::Relaxed);
        if now >= tripped_at + wait && (trial_at == 0 || now > trial_at + TRIAL_TIMEOUT_US) {
            BreakerState::HalfOpen
        } else {
            BreakerState::Tripped
        }
    }

    pub(crate) fn is_tripped(&self) -> bool {
        self.tripped_at.load(Ordering::Acquire) != 0
    }

    /// Reserves the trial; `false` if another request holds it.
    pub(crate) fn reserve_trial(&self, now: Micros) -> bool {
        let trial_at = self.trial_at.load(Ordering::Relaxed);
        (trial_at == 0 || now > trial_at + TRIAL_TIMEOUT_US)
            && self
                .trial_at
                .compare_exchange(trial_at, now, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    /// Releases the trial without a result.
    pub(crate) fn release_trial(&self) {
        self.trial_at.store(0, Ordering::Relaxed);
    }

    pub(crate) fn on_failure(&self, now: Micros, trial: bool) {
        if self.is_tripped() {
            // Requests sent before the breaker tripped may still fail; only a failed trial lengthens the wait.
            if trial {
                self.consecutive_trips.fetch_add(1, Ordering::Relaxed);
                self.tripped_at.store(now, Ordering::Release);
                self.release_trial();
            }
        } else if self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= self.threshold {
            self.trip(now, TripCause::Failures);
        }
    }

    /// Trips the breaker and returns whether it was not tripped before.
    pub(crate) fn trip(&self, now: Micros, cause: TripCause) -> bool {
        let tripped = self
            .tripped_at
            .compare_exchange(0, now, Ordering::AcqRel, Ordering::Relaxed)
            .is_ok();
        if tripped {
            self.tripped_by_silence
                .store(cause == TripCause::Silence, Ordering::Relaxed);
            self.consecutive_trips.fetch_add(1, Ordering::Relaxed);
            self.failures.store(0, Ordering::Relaxed);
            self.release_trial();
        }
        tripped
    }

    /// Trips the breaker with the longest wait before the next trial.
    pub(crate) fn trip_for_longest_wait(&self, now: Micros) {
        // With 8 or more trips the wait is `MAX_WAIT_US`.
        self.consecutive_trips.store(8, Ordering::Relaxed);
        self.trip(now, TripCause::Failures);
    }

    /// Records a response: resets a tripped breaker, with a ramp unless the server was only slow.
    pub(crate) fn on_answer(&self, now: Micros) {
        self.failures.store(0, Ordering::Relaxed);
        let tripped_at = self.tripped_at.swap(0, Ordering::AcqRel);
        if tripped_at != 0 {
            self.release_trial();
            let was_only_slow = self.tripped_by_silence.load(Ordering::Relaxed) && now < tripped_at + FIRST_WAIT_US;
            if !was_only_slow {
                self.start_ramp(now, RECOVERY_RAMP_US);
            }
        } else if self.consecutive_trips.load(Ordering::Relaxed) != 0 && self.ramp(now) >= 1.0 {
            self.consecutive_trips.store(0, Ordering::Relaxed);
        }
    }

    pub(crate) fn start_ramp(&self, now: Micros, ramp_us: Micros) {
        self.ramp_us.store(ramp_us, Ordering::Relaxed);
        self.ramp_start.store(now, Ordering::Relaxed);
    }

    fn ramp(&self, now: Micros) -> f64 {
        let from = self.ramp_start.load(Ordering::Relaxed);
        if from == 0 {
            return 1.0;
        }
        let progress = now.saturating_sub(from) as f64 / self.ramp_us.load(Ordering::Relaxed).max(1) as f64;
        (RAMP_START_FRACTION + (1.0 - RAMP_START_FRACTION) * progress).min(1.0)
    }
}
