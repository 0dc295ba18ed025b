use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};

use crate::Mark;
use crate::breaker::Breaker;
use crate::clock::Micros;
use crate::latency::{Latency, SERVER_WEIGHT};

/// Failures in a row that close a server; one alone may be a connection that the server closed when idle.
const SERVER_FAILURES: u32 = 2;

/// Bounds of the silence after which a server with unanswered requests counts as failed, in microseconds. The upper
/// bound keeps detection within a second.
const SILENCE_US: (f64, f64) = (250_000.0, 700_000.0);

/// Silence in multiples of the expected latency.
const SILENCE_LATENCIES: f64 = 8.0;

/// A server whose requests normally take longer than the upper bound is given this many latencies.
const SLOW_SILENCE_LATENCIES: f64 = 2.0;

/// A wait shorter than this many latencies tells nothing about the server when its caller gives up.
const GIVEN_UP_LATENCIES: u64 = 2;

/// Unit of the error rate.
const FULL_RATE: u32 = 1 << 16;

/// Weight of a new sample in the error rate is 1 / `ERROR_WEIGHT`.
const ERROR_WEIGHT: u32 = 8;

/// Unit of the learned limit.
pub(crate) const LIMIT_UNIT: u32 = 1000;

/// What the VM observed and was told about one server.
#[derive(Debug)]
pub(crate) struct Seen {
    pub(crate) in_flight: AtomicU32,
    pub(crate) breaker: Breaker,
    pub(crate) latency: Latency,
    /// Set by the server's own notice that it is shutting down; cleared when a trial is answered.
    pub(crate) closing: AtomicBool,
    pub(crate) answered: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) shed: AtomicU64,
    pub(crate) report_at: AtomicU64,
    /// Requests of other VMs at the server when it reported.
    pub(crate) report_others: AtomicU32,
    pub(crate) report_healthy: AtomicBool,
    mark: AtomicU8,
    errors: AtomicU32,
    /// Limit in flight that refusals of the server taught, in thousandths; zero is none.
    limit: AtomicU32,
    /// Time of the first request sent since the last answer; zero if there is none.
    asked_since: AtomicU64,
    /// Requests in flight of which nothing of an answer has arrived.
    waiting: AtomicU32,
}

impl Seen {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            breaker: Breaker::new(SERVER_FAILURES),
            latency: Latency::new(SERVER_WEIGHT),
            closing: AtomicBool::new(false),
            answered: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            report_at: AtomicU64::new(0),
            report_others: AtomicU32::new(0),
            report_healthy: AtomicBool::new(true),
            mark: AtomicU8::new(Mark::Serving as u8),
            errors: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            asked_since: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
        }
    }

    pub(crate) fn mark(&self) -> Mark {
        Mark::from_bits(self.mark.load(Ordering::Acquire))
    }

    /// Sets the mark and returns the earlier one.
    pub(crate) fn set_mark(&self, mark: Mark) -> Mark {
        Mark::from_bits(self.mark.swap(mark as u8, Ordering::AcqRel))
    }

    /// Part of the recent answers that were errors, 0 to 1.
    pub(crate) fn error_rate(&self) -> f64 {
        f64::from(self.errors.load(Ordering::Relaxed)) / f64::from(FULL_RATE)
    }

    /// Learned limit in flight; `None` until the server refused a request.
    pub(crate) fn learned_limit(&self) -> Option<u32> {
        let limit = self.limit.load(Ordering::Relaxed);
        (limit != 0).then(|| (limit / LIMIT_UNIT).max(1))
    }

    /// Whether requests have been waiting for so long, without any answer, that the server must have failed.
    pub(crate) fn is_silent(&self, expected_us: f64, now: Micros) -> bool {
        let since = self.asked_since.load(Ordering::Relaxed);
        let limit = (expected_us * SILENCE_LATENCIES)
            .clamp(SILENCE_US.0, SILENCE_US.1)
            .max(expected_us * SLOW_SILENCE_LATENCIES);
        since != 0 && now.saturating_sub(since) as f64 > limit
    }

    /// Counts one more in flight, unless `limit` are already.
    pub(crate) fn reserve(&self, limit: u32) -> bool {
        let add = |n: u32| (n < limit).then_some(n + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add)
            .is_ok()
    }

    /// Gives back one in flight and returns how many remain.
    pub(crate) fn release(&self) -> u32 {
        self.in_flight.fetch_sub(1, Ordering::AcqRel).saturating_sub(1)
    }

    pub(crate) fn on_sent(&self, now: Micros) {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        self.asked_since
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .ok();
    }

    /// One request waits no longer, as its answer began or it ended; returns how many still wait.
    pub(crate) fn stop_waiting(&self) -> u32 {
        self.waiting.fetch_sub(1, Ordering::AcqRel).saturating_sub(1)
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Restarts the silence clock after any sign of life, with `waiting` requests still waiting.
    pub(crate) fn on_heard(&self, waiting: u32, now: Micros) {
        self.asked_since
            .store(if waiting == 0 { 0 } else { now }, Ordering::Relaxed);
    }

    /// A request was given up; returns whether the wait was too short to tell anything, and forgets it if so.
    pub(crate) fn on_given_up(&self, sent_at: Micros, waiting: u32, now: Micros) -> bool {
        let short = |since: Micros| now.saturating_sub(since) < GIVEN_UP_LATENCIES * self.latency.mean_us();
        if waiting == 0 && short(self.asked_since.load(Ordering::Relaxed)) {
            self.asked_since.store(0, Ordering::Relaxed);
        }
        short(sent_at)
    }

    pub(crate) fn on_status(&self, status: u16) {
        let sample = if status >= 500 { FULL_RATE } else { 0 };
        let step = |rate: u32| Some((rate * (ERROR_WEIGHT - 1) + sample) / ERROR_WEIGHT);
        self.errors
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .ok();
    }

    /// The server refused with `in_flight` others of this VM running: lowers the learned limit by a third.
    pub(crate) fn on_shed(&self, in_flight: u32) {
        let step = |limit: u32| {
            let known = if limit == 0 { u32::MAX } else { limit };
            Some((known.min((in_flight + 1) * LIMIT_UNIT) / 3 * 2).max(LIMIT_UNIT))
        };
        self.limit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step).ok();
    }

    /// An answer arrived: raises the learned limit by one for about as many answers as the limit.
    pub(crate) fn grow_limit(&self) {
        let step = |limit: u32| (limit != 0).then(|| limit.saturating_add(LIMIT_UNIT * LIMIT_UNIT / limit));
        self.limit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step).ok();
    }
}
