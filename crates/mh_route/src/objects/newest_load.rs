use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// Time in which a stated speed loses its weight, in microseconds; machines change their speed several times a second.
const SPEED_LIFETIME_US: f64 = 500_000.0;

/// Part of [`SPEED_LIFETIME_US`] in which the speed of a request's start counts as known.
const KNOWN_SPEED_WEIGHT: f64 = 0.5;

/// Bits of an entry for the number of requests, and for the speed. The others hold the time in milliseconds.
const COUNT_BITS: u32 = 14;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// One load report: requests, speed in percent (0 if unknown) and time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEntry {
    pub(crate) requests: u32,
    pub(crate) speed: u32,
    at_ms: u64,
}

impl LoadEntry {
    pub(crate) fn new(at: Micros, requests: u32, speed: Option<u32>) -> Self {
        Self {
            requests: requests.min(COUNT_MASK as u32),
            speed: speed.unwrap_or_default().min(COUNT_MASK as u32),
            // Zero stands for "no report".
            at_ms: (at / 1000 + 1) & (u64::MAX >> (2 * COUNT_BITS)),
        }
    }

    pub(crate) fn age_us(&self, now: Micros) -> Micros {
        (now / 1000 + 1).saturating_sub(self.at_ms) * 1000
    }

    fn packed(self) -> u64 {
        self.at_ms << (2 * COUNT_BITS) | u64::from(self.requests) << COUNT_BITS | u64::from(self.speed)
    }

    fn unpacked(bits: u64) -> Option<Self> {
        (bits != 0).then_some(Self {
            requests: (bits >> COUNT_BITS & COUNT_MASK) as u32,
            speed: (bits & COUNT_MASK) as u32,
            at_ms: bits >> (2 * COUNT_BITS),
        })
    }
}

/// The newest load report of one server. All its figures are in one atomic, so that they belong to the same report.
#[derive(Debug, Default)]
pub(crate) struct NewestLoad(AtomicU64);

impl NewestLoad {
    pub(crate) fn get(&self) -> Option<LoadEntry> {
        LoadEntry::unpacked(self.0.load(Ordering::Relaxed))
    }

    /// Replaces the report.
    pub(crate) fn set(&self, entry: LoadEntry) {
        self.0.store(entry.packed(), Ordering::Relaxed);
    }

    /// Replaces the report if `entry` is newer.
    pub(crate) fn set_if_newer(&self, entry: LoadEntry) {
        let replace = |bits| {
            LoadEntry::unpacked(bits)
                .is_none_or(|held| entry.at_ms > held.at_ms)
                .then(|| entry.packed())
        };
        // Fails only if the held report is as new.
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, replace);
    }

    /// Takes the report, leaving none.
    pub(crate) fn take(&self) -> Option<LoadEntry> {
        LoadEntry::unpacked(self.0.swap(0, Ordering::Relaxed))
    }

    /// Factor on the duration of work that starts at `start`; 1 without a recent speed.
    pub(crate) fn speed_factor(&self, start: Micros) -> f64 {
        let Some((speed, weight)) = self.recent_speed(start) else {
            return 1.0;
        };
        1.0 + (speed - 1.0) * weight
    }

    /// Stated speed in percent if it is so recent that it holds at `start`.
    pub(crate) fn known_speed(&self, start: Micros) -> Option<f64> {
        let (speed, weight) = self.recent_speed(start)?;
        (weight >= KNOWN_SPEED_WEIGHT).then_some(speed)
    }

    fn recent_speed(&self, start: Micros) -> Option<(f64, f64)> {
        let entry = self.get().filter(|entry| entry.speed > 0)?;
        let weight = 1.0 - entry.age_us(start) as f64 / SPEED_LIFETIME_US;
        (weight > 0.0).then_some((f64::from(entry.speed) / 100.0, weight))
    }
}
