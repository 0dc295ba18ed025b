use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::CallerTime;
use crate::clock::{Micros, micros};

/// Longest gap between two callers that return, in microseconds: before the first of them was admitted, no rate is known.
const MAX_GAP_US: f64 = 250_000.0;

/// Shortest time after which a caller is asked to return: several round trips.
const MIN_WAIT_US: Micros = 50_000;

/// Part of a caller's time that it may be asked to wait. Callers honour up to a third of what is left when the answer
/// reaches them.
pub const MAX_RETURN_FRACTION: f64 = 0.3;

/// Times at which refused callers of one level are asked to return, one after the other.
#[derive(Debug, Default)]
pub(super) struct ReturnSchedule {
    booked_until: AtomicU64,
}

impl ReturnSchedule {
    /// Books a return not before `earliest` from now; callers are admitted at `per_s` a second. Returns `None` if the caller
    /// could then no longer be answered in time, after those that were booked before it.
    pub(super) fn book(
        &self,
        now: Micros,
        earliest: Duration,
        per_s: f64,
        time: &CallerTime,
        rnd: u64,
    ) -> Option<Duration> {
        let unit = (rnd >> 11) as f64 / (1_u64 << 53) as f64;
        let gap = (1e6 / per_s.max(f64::MIN_POSITIVE)).min(MAX_GAP_US);
        let booked_until = self.booked_until.load(Ordering::Relaxed).max(now);
        // Within its gap a caller returns at a random time, since other VMs book the same ones.
        let wait = micros(earliest).max(MIN_WAIT_US) + (booked_until - now) + (unit * gap) as Micros;
        let wait = Duration::from_micros(wait);
        if wait > time.latest_return() {
            return None;
        }
        self.booked_until.store(booked_until + gap as Micros, Ordering::Relaxed);
        let longest = time.until_deadline.mul_f64(MAX_RETURN_FRACTION);
        // Callers who have to return more than once are spread, as their next attempts would come together too.
        Some(if wait <= longest {
            wait
        } else {
            longest.mul_f64(0.5 + unit / 2.0)
        })
    }
}
