use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::cold_pace::ColdPace;
use super::recent::Recent;
use crate::clock::Micros;

/// Time for which the first failure keeps requests away; each further one doubles it.
const CLOSE_US: Micros = 400_000;

/// Doublings of [`CLOSE_US`]; with the last one a failed server is tried every 6.4 s.
const MAX_DOUBLINGS: u32 = 4;

/// A new sample of the error rate weighs 1 / this.
const ERROR_WEIGHT: f64 = 8.0;

/// A new sample of the slowness weighs 1 / this.
const SLOW_WEIGHT: f64 = 6.0;

/// Bounds of the slowness, so that one answer cannot shut a server out.
const SLOW_RANGE: (f64, f64) = (0.5, 12.0);

/// Half of what is held of a server's slowness, errors and foreign load is forgotten in this time, in microseconds.
const HALF_LIFE_US: f64 = 4_000_000.0;

/// A new report of the load of others weighs this much against the old ones.
const REPORT_WEIGHT: f64 = 0.4;

/// Stands for no report.
const NO_REPORT: u32 = u32::MAX;

/// A number that is read and written whole.
#[derive(Debug)]
struct AtomicF64(AtomicU64);

impl AtomicF64 {
    fn new(value: f64) -> Self {
        Self(AtomicU64::new(value.to_bits()))
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }

    fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }
}

/// What this VM observed of one server.
#[derive(Debug)]
pub(crate) struct Track {
    pub(crate) in_flight: AtomicU32,
    pub(crate) cold: ColdPace,
    pub(crate) recent: Recent,
    failures: AtomicU32,
    closed_until: AtomicU64,
    others: AtomicF64,
    error_rate: AtomicF64,
    slowness: AtomicF64,
    path_us: AtomicU64,
    heard_at: AtomicU64,
    /// The latest load that the server told this VM and that other VMs were not told yet.
    report: AtomicU32,
}

impl Track {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            cold: ColdPace::default(),
            recent: Recent::new(),
            failures: AtomicU32::new(0),
            closed_until: AtomicU64::new(0),
            others: AtomicF64::new(0.0),
            error_rate: AtomicF64::new(0.0),
            slowness: AtomicF64::new(1.0),
            path_us: AtomicU64::new(0),
            heard_at: AtomicU64::new(0),
            report: AtomicU32::new(NO_REPORT),
        }
    }

    /// Whether requests may go there: no failure, or one request at a time after the wait that failures ask for.
    pub(crate) fn is_open(&self, now: Micros) -> bool {
        self.failures.load(Ordering::Relaxed) == 0
            || (now >= self.closed_until.load(Ordering::Relaxed) && self.in_flight.load(Ordering::Relaxed) == 0)
    }

    pub(crate) fn on_failure(&self, now: Micros) {
        let before = self.failures.fetch_add(1, Ordering::Relaxed);
        let wait = CLOSE_US << before.min(MAX_DOUBLINGS);
        self.closed_until.fetch_max(now + wait, Ordering::Relaxed);
    }

    /// Records an answer with the work time observed and expected, in microseconds.
    pub(crate) fn on_answer(&self, now: Micros, is_error: bool, observed_us: f64, expected_us: f64) {
        self.failures.store(0, Ordering::Relaxed);
        let sample = if is_error { 1.0 } else { 0.0 };
        let rate = self.error_rate(now);
        self.error_rate.set(rate + (sample - rate) / ERROR_WEIGHT);
        let slowness = self.slowness(now);
        // Errors are often faster than work and say nothing about the speed.
        if !is_error {
            let ratio = (observed_us / expected_us.max(1.0)).clamp(SLOW_RANGE.0, SLOW_RANGE.1);
            self.slowness.set(slowness + (ratio - slowness) / SLOW_WEIGHT);
        }
        self.heard_at.store(now, Ordering::Relaxed);
    }

    /// Records the number of requests that the server told this VM it holds.
    pub(crate) fn on_load(&self, now: Micros, total: u32) {
        self.report.store(total, Ordering::Relaxed);
        self.on_report(now, total);
    }

    /// The latest load that the server told this VM, once.
    pub(crate) fn take_report(&self) -> Option<u32> {
        let total = self.report.swap(NO_REPORT, Ordering::Relaxed);
        (total != NO_REPORT).then_some(total)
    }

    /// Records the number of requests that the server told this VM or another one it holds.
    pub(crate) fn on_report(&self, now: Micros, total: u32) {
        let own = self.in_flight.load(Ordering::Relaxed);
        let sample = f64::from(total.saturating_sub(own));
        let held = self.others(now);
        self.others.set(held + (sample - held) * REPORT_WEIGHT);
        self.heard_at.store(now, Ordering::Relaxed);
    }

    /// Records the round-trip time seen while connecting; the shortest one counts.
    pub(crate) fn on_path(&self, sample_us: u64) {
        let shorter = |held: u64| (held == 0 || sample_us < held).then_some(sample_us.max(1));
        self.path_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter)
            .ok();
    }

    pub(crate) fn path_us(&self) -> u64 {
        self.path_us.load(Ordering::Relaxed)
    }

    pub(crate) fn others(&self, now: Micros) -> f64 {
        self.others.get() * self.memory(now)
    }

    pub(crate) fn error_rate(&self, now: Micros) -> f64 {
        self.error_rate.get() * self.memory(now)
    }

    pub(crate) fn slowness(&self, now: Micros) -> f64 {
        1.0 + (self.slowness.get() - 1.0) * self.memory(now)
    }

    /// Part of the observations that still counts at `now`.
    fn memory(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.heard_at.load(Ordering::Relaxed)) as f64;
        (-age / HALF_LIFE_US).exp2()
    }
}
