use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};

use crate::AnnouncedState;
use crate::breaker::Breaker;
use crate::clock::Micros;
use crate::latency::{Latency, SERVER_WEIGHT_DIVISOR};

/// Consecutive failures that trip the breaker of a server. A single one may be an idle connection that the server
/// closed.
const SERVER_FAILURE_THRESHOLD: u32 = 2;

/// Bounds of the time without a response after which a server with pending requests counts as failed, in microseconds.
/// The upper bound keeps detection within a second.
const SILENCE_BOUNDS_US: (f64, f64) = (250_000.0, 700_000.0);

/// Time without a response that counts as a failure, in multiples of the expected latency.
const SILENCE_LATENCIES: f64 = 8.0;

/// Minimum time without a response that counts as a failure, in multiples of the expected latency; it applies to
/// servers that normally take longer than the upper bound.
const MIN_SILENCE_LATENCIES: f64 = 2.0;

/// A cancelled request that waited for less than this many mean latencies gives no information about the server.
const INFORMATIVE_WAIT_LATENCIES: u64 = 2;

/// Fixed-point unit of the error rate.
const ERROR_RATE_UNIT: u32 = 1 << 16;

/// A new sample of the error rate weighs 1 / `ERROR_WEIGHT_DIVISOR`.
const ERROR_WEIGHT_DIVISOR: u32 = 8;

/// Fixed-point unit of the learned limit.
pub(crate) const LIMIT_UNIT: u32 = 1000;

/// Measurements, load reports and announced state of one server.
#[derive(Debug)]
pub(crate) struct ServerStats {
    pub(crate) in_flight: AtomicU32,
    pub(crate) breaker: Breaker,
    pub(crate) latency: Latency,
    /// Set when the server says that it is shutting down; cleared when a trial is answered.
    pub(crate) closing: AtomicBool,
    pub(crate) answered: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) shed: AtomicU64,
    pub(crate) report_at: AtomicU64,
    /// Requests of other VMs at the server when it reported.
    pub(crate) report_others: AtomicU32,
    pub(crate) report_healthy: AtomicBool,
    announced: AtomicU8,
    errors: AtomicU32,
    /// Limit of requests in flight learned from refusals, in units of 1 / [`LIMIT_UNIT`]; zero if there is none.
    limit: AtomicU32,
    /// Time since which requests have been pending without any response; zero if there are none.
    unanswered_since: AtomicU64,
    /// Requests in flight without any part of a response.
    waiting: AtomicU32,
}

impl ServerStats {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            breaker: Breaker::new(SERVER_FAILURE_THRESHOLD),
            latency: Latency::new(SERVER_WEIGHT_DIVISOR),
            closing: AtomicBool::new(false),
            answered: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            report_at: AtomicU64::new(0),
            report_others: AtomicU32::new(0),
            report_healthy: AtomicBool::new(true),
            announced: AtomicU8::new(AnnouncedState::Serving as u8),
            errors: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            unanswered_since: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
        }
    }

    pub(crate) fn announced(&self) -> AnnouncedState {
        AnnouncedState::from_bits(self.announced.load(Ordering::Acquire))
    }

    /// Sets the announced state and returns the previous one.
    pub(crate) fn set_announced(&self, announced: AnnouncedState) -> AnnouncedState {
        AnnouncedState::from_bits(self.announced.swap(announced as u8, Ordering::AcqRel))
    }

    /// Fraction of recent responses that were errors, 0 to 1.
    pub(crate) fn error_rate(&self) -> f64 {
        f64::from(self.errors.load(Ordering::Relaxed)) / f64::from(ERROR_RATE_UNIT)
    }

    /// Learned limit of requests in flight; `None` until the server refuses a request.
    pub(crate) fn learned_limit(&self) -> Option<u32> {
        let limit = self.limit.load(Ordering::Relaxed);
        (limit != 0).then(|| (limit / LIMIT_UNIT).max(1))
    }

    /// Whether requests have been pending for so long, without any response, that the server counts as failed.
    pub(crate) fn is_silent(&self, expected_us: f64, now: Micros) -> bool {
        let since = self.unanswered_since.load(Ordering::Relaxed);
        let limit = (expected_us * SILENCE_LATENCIES)
            .clamp(SILENCE_BOUNDS_US.0, SILENCE_BOUNDS_US.1)
            .max(expected_us * MIN_SILENCE_LATENCIES);
        since != 0 && now.saturating_sub(since) as f64 > limit
    }

    /// Counts one more request in flight, unless `limit` are in flight already.
    pub(crate) fn reserve(&self, limit: u32) -> bool {
        let add = |n: u32| (n < limit).then_some(n + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add)
            .is_ok()
    }

    /// Counts one request less in flight and returns how many remain.
    pub(crate) fn release(&self) -> u32 {
        self.in_flight.fetch_sub(1, Ordering::AcqRel).saturating_sub(1)
    }

    pub(crate) fn on_sent(&self, now: Micros) {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        self.unanswered_since
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .ok();
    }

    /// Counts one request less that awaits a response, as its response began or it ended; returns how many remain.
    pub(crate) fn stop_waiting(&self) -> u32 {
        self.waiting.fetch_sub(1, Ordering::AcqRel).saturating_sub(1)
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Restarts the detection of silence after any reaction of the server, with `waiting` requests still pending.
    pub(crate) fn restart_silence_timer(&self, waiting: u32, now: Micros) {
        self.unanswered_since
            .store(if waiting == 0 { 0 } else { now }, Ordering::Relaxed);
    }

    /// Records a cancelled request; returns whether its wait was too short to say anything about the server. If the
    /// last pending request is cancelled after too short a wait, the detection of silence is reset.
    pub(crate) fn on_cancelled(&self, sent_at: Micros, waiting: u32, now: Micros) -> bool {
        let short = |since: Micros| now.saturating_sub(since) < INFORMATIVE_WAIT_LATENCIES * self.latency.mean_us();
        if waiting == 0 && short(self.unanswered_since.load(Ordering::Relaxed)) {
            self.unanswered_since.store(0, Ordering::Relaxed);
        }
        short(sent_at)
    }

    pub(crate) fn on_status(&self, status: u16) {
        let sample = if status >= 500 { ERROR_RATE_UNIT } else { 0 };
        let step = |rate: u32| Some((rate * (ERROR_WEIGHT_DIVISOR - 1) + sample) / ERROR_WEIGHT_DIVISOR);
        self.errors
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .ok();
    }

    /// Lowers the learned limit by a third, after the server refused a request with `in_flight` others of this VM
    /// running.
    pub(crate) fn lower_limit(&self, in_flight: u32) {
        let step = |limit: u32| {
            let known = if limit == 0 { u32::MAX } else { limit };
            Some((known.min((in_flight + 1) * LIMIT_UNIT) / 3 * 2).max(LIMIT_UNIT))
        };
        self.limit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step).ok();
    }

    /// Raises the learned limit after a response, by about one for every `limit` responses.
    pub(crate) fn raise_limit(&self) {
        let step = |limit: u32| (limit != 0).then(|| limit.saturating_add(LIMIT_UNIT * LIMIT_UNIT / limit));
        self.limit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step).ok();
    }
}
