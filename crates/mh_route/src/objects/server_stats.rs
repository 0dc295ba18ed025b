use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::atomic_f64::AtomicF64;
use super::cold_rate_limiter::ColdRateLimiter;
use super::newest_load::{LoadEntry, NewestLoad};
use super::recent_objects::RecentObjects;
use super::{AgedLoad, ServerLoad};
use crate::admission::RecentCallers;
use crate::clock::Micros;

/// Time without requests after the first failure, in microseconds; each further failure doubles it.
const FIRST_BLOCK_US: Micros = 400_000;

/// Maximum doublings of [`FIRST_BLOCK_US`], after which a failed server is tried every 6.4 s.
const MAX_DOUBLINGS: u32 = 4;

/// A new sample of the error rate weighs 1 / `ERROR_WEIGHT_DIVISOR`.
const ERROR_WEIGHT_DIVISOR: f64 = 8.0;

/// A new sample of the slowness weighs 1 / `SLOWNESS_WEIGHT_DIVISOR`.
const SLOWNESS_WEIGHT_DIVISOR: f64 = 6.0;

/// Bounds of a slowness sample, so that a single response cannot exclude a server.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);

/// Half-life of a server's slowness, error rate and load from other VMs without new samples, in microseconds.
const HALF_LIFE_US: f64 = 4_000_000.0;

/// Weight of a new report in the moving average of the load from other VMs.
const REPORT_WEIGHT: f64 = 0.4;

/// Age of a report of another VM that states none: the interval between two reports, in microseconds.
const UNSTATED_AGE_US: Micros = 400_000;

/// Value of `report` if there is none.
const NO_REPORT: u32 = u32::MAX;

/// Measurements and load reports of one server.
#[derive(Debug)]
pub(crate) struct ObjectServerStats {
    pub(crate) in_flight: AtomicU32,
    pub(crate) cold_limiter: ColdRateLimiter,
    pub(crate) recent_objects: RecentObjects,
    pub(crate) recent_callers: RecentCallers,
    /// Most requests, running and queued, that the server held when it refused another; 0 if it refused none.
    capacity: AtomicU32,
    failures: AtomicU32,
    blocked_until: AtomicU64,
    /// Time until which a limit that the server stated is used up.
    full_until: AtomicU64,
    others: AtomicF64,
    error_rate: AtomicF64,
    slowness: AtomicF64,
    round_trip_us: AtomicU64,
    last_observed_at: AtomicU64,
    /// Latest load that the server reported to this VM, until it is taken to be sent to other VMs.
    report: AtomicU32,
    /// Newest load of a server that states its speed, without the requests of this VM.
    pub(crate) newest: NewestLoad,
    /// Latest load of a server that states its speed, until it is taken to be sent to other VMs.
    unsent: NewestLoad,
}

impl ObjectServerStats {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            cold_limiter: ColdRateLimiter::default(),
            recent_objects: RecentObjects::new(),
            recent_callers: RecentCallers::default(),
            capacity: AtomicU32::new(0),
            failures: AtomicU32::new(0),
            blocked_until: AtomicU64::new(0),
            full_until: AtomicU64::new(0),
            others: AtomicF64::new(0.0),
            error_rate: AtomicF64::new(0.0),
            slowness: AtomicF64::new(1.0),
            round_trip_us: AtomicU64::new(0),
            last_observed_at: AtomicU64::new(0),
            report: AtomicU32::new(NO_REPORT),
            newest: NewestLoad::default(),
            unsent: NewestLoad::default(),
        }
    }

    /// Whether requests may be sent: always without a failure, otherwise one at a time after the blocking time.
    pub(crate) fn accepts_requests(&self, now: Micros) -> bool {
        self.failures.load(Ordering::Relaxed) == 0
            || (now >= self.blocked_until.load(Ordering::Relaxed) && self.in_flight.load(Ordering::Relaxed) == 0)
    }

    pub(crate) fn on_failure(&self, now: Micros) {
        let before = self.failures.fetch_add(1, Ordering::Relaxed);
        let wait = FIRST_BLOCK_US << before.min(MAX_DOUBLINGS);
        self.blocked_until.fetch_max(now + wait, Ordering::Relaxed);
    }

    /// Forgets the failures since the last answer.
    pub(crate) fn clear_failures(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.blocked_until.store(0, Ordering::Relaxed);
    }

    /// Records that the server accepts no request until `until`, by a limit that it stated.
    pub(crate) fn set_full(&self, until: Micros) {
        self.full_until.store(until, Ordering::Relaxed);
    }

    /// Time until the server's own limit admits a request; zero if it does so now.
    pub(crate) fn full_for(&self, now: Micros) -> Micros {
        self.full_until.load(Ordering::Relaxed).saturating_sub(now)
    }

    /// Records that the server refused a request while it held `total` others.
    pub(crate) fn on_refused(&self, total: u32) {
        self.capacity.fetch_max(total, Ordering::Relaxed);
    }

    /// Whether the server is known to have no room for another request beside those that it holds.
    pub(crate) fn is_full(&self, now: Micros) -> bool {
        let held = f64::from(self.in_flight.load(Ordering::Relaxed)) + self.others(now);
        let capacity = self.capacity.load(Ordering::Relaxed);
        capacity > 0 && held + 1.0 > f64::from(capacity)
    }

    /// Records a response with its measured and expected work time, in microseconds.
    pub(crate) fn on_answer(&self, now: Micros, is_error: bool, observed_us: f64, expected_us: f64) {
        self.failures.store(0, Ordering::Relaxed);
        let sample = if is_error { 1.0 } else { 0.0 };
        let rate = self.error_rate(now);
        self.error_rate.set(rate + (sample - rate) / ERROR_WEIGHT_DIVISOR);
        let slowness = self.slowness(now);
        // Errors are often faster than successful responses and say nothing about the speed.
        if !is_error && expected_us > 0.0 {
            let ratio = (observed_us / expected_us).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            self.slowness
                .set(slowness + (ratio - slowness) / SLOWNESS_WEIGHT_DIVISOR);
        }
        self.last_observed_at.store(now, Ordering::Relaxed);
    }

    /// Records the load that the server reported to this VM.
    pub(crate) fn on_direct_report(&self, now: Micros, load: &ServerLoad) {
        let total = load.total();
        if load.speed.is_none() && self.newest.get().is_none() {
            self.report.store(total, Ordering::Relaxed);
            self.average(now, total);
        } else {
            self.unsent.set(LoadEntry::new(now, total, load.speed));
            self.newest
                .set(LoadEntry::new(now, self.without_own(total), load.speed));
        }
    }

    /// Takes the latest load that a server without a stated speed reported to this VM.
    pub(crate) fn take_report(&self) -> Option<u32> {
        let total = self.report.swap(NO_REPORT, Ordering::Relaxed);
        (total != NO_REPORT).then_some(total)
    }

    /// Takes the latest load that a server with a stated speed reported to this VM.
    pub(crate) fn take_aged_load(&self, now: Micros) -> Option<AgedLoad> {
        let entry = self.unsent.take()?;
        Some(AgedLoad {
            total: entry.requests,
            speed: Some(entry.speed).filter(|speed| *speed > 0),
            age_ms: entry.age_us(now) / 1000,
        })
    }

    /// Records the number of running and queued requests that the server reported to another VM.
    pub(crate) fn on_report(&self, now: Micros, total: u32) {
        if self.newest.get().is_none() {
            self.average(now, total);
        } else {
            let at = now.saturating_sub(UNSTATED_AGE_US);
            self.newest
                .set_if_newer(LoadEntry::new(at, self.without_own(total), None));
        }
    }

    /// Records the load that the server reported to another VM, unless a newer one is known.
    pub(crate) fn on_aged_load(&self, now: Micros, load: AgedLoad) {
        let Some(load) = load.plausible() else { return };
        let Some(at) = now.checked_sub(load.age_ms.saturating_mul(1000)) else {
            return;
        };
        self.newest
            .set_if_newer(LoadEntry::new(at, self.without_own(load.total), load.speed));
    }

    fn without_own(&self, total: u32) -> u32 {
        total.saturating_sub(self.in_flight.load(Ordering::Relaxed))
    }

    fn average(&self, now: Micros, total: u32) {
        let sample = f64::from(self.without_own(total));
        let held = self.others(now);
        self.others.set(held + (sample - held) * REPORT_WEIGHT);
        self.last_observed_at.store(now, Ordering::Relaxed);
    }

    /// Records a round-trip time measured while connecting; the shortest one counts.
    pub(crate) fn on_round_trip(&self, sample_us: u64) {
        let shorter = |held: u64| (held == 0 || sample_us < held).then_some(sample_us.max(1));
        self.round_trip_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter)
            .ok();
    }

    pub(crate) fn round_trip_us(&self) -> u64 {
        self.round_trip_us.load(Ordering::Relaxed)
    }

    pub(crate) fn others(&self, now: Micros) -> f64 {
        match self.newest.get() {
            Some(entry) => f64::from(entry.requests) * (-(entry.age_us(now) as f64) / HALF_LIFE_US).exp2(),
            None => self.others.get() * self.decay_factor(now),
        }
    }

    pub(crate) fn error_rate(&self, now: Micros) -> f64 {
        self.error_rate.get() * self.decay_factor(now)
    }

    pub(crate) fn slowness(&self, now: Micros) -> f64 {
        1.0 + (self.slowness.get() - 1.0) * self.decay_factor(now)
    }

    /// Factor by which the measurements have decayed at `now`.
    fn decay_factor(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_observed_at.load(Ordering::Relaxed)) as f64;
        (-age / HALF_LIFE_US).exp2()
    }
}
