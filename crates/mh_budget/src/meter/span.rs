use std::sync::atomic::{AtomicU64, Ordering};

use super::bucket_state::BucketState;

/// Fraction bits of a rate, a fixed-point number of steps per microsecond.
pub(super) const RATE_FRACTION_BITS: u32 = 32;

/// Values of one span, the period between two changes of a meter's share.
///
/// Times are microseconds; `start` counts from the meter's origin and the others from `start`. `full_until` is never
/// after `own_until`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpanValues {
    pub start: u64,
    pub full_rate: u64,
    pub full_cap: u64,
    pub full_until: u64,
    pub own_rate: u64,
    pub own_cap: u64,
    pub own_until: u64,
}

impl SpanValues {
    /// Refills the bucket up to time `at`; the result's time is the time up to which it is filled.
    pub fn fill_to(&self, state: BucketState, at: u64) -> BucketState {
        let mut level = state.level;
        let mut time = state.time;
        if time < self.full_until {
            let end = at.max(time).min(self.full_until);
            level = (level + fill_steps(self.full_rate, end - time)).min(self.full_cap);
            time = end;
        }
        if time >= self.full_until {
            let end = at.max(time).min(self.own_until);
            level = level.min(self.own_cap);
            level = (level + fill_steps(self.own_rate, end - time)).min(self.own_cap);
            time = end;
        }
        if time >= self.own_until {
            level = 0;
        }
        BucketState {
            span: state.span,
            time,
            level,
        }
    }

    /// State after a take of `cost` that leaves `level`.
    ///
    /// A take at any moment of a microsecond sees the level at its beginning. After a take from a full bucket the
    /// refill starts with the next microsecond: it must not start before the take, or a part of that microsecond would
    /// be counted twice.
    pub fn after_take(&self, filled: BucketState, at: u64, level: u64, cost: u64) -> BucketState {
        let (rate, cap) = self.rate_and_cap(filled.time);
        if filled.time == at && filled.level + fill_steps(rate, 1) >= cap {
            return BucketState {
                time: at + 1,
                level: cap - cost,
                ..filled
            };
        }
        BucketState { level, ..filled }
    }

    /// Rate and cap in force at time `at`.
    pub fn rate_and_cap(&self, at: u64) -> (u64, u64) {
        if at < self.full_until {
            (self.full_rate, self.full_cap)
        } else if at < self.own_until {
            (self.own_rate, self.own_cap)
        } else {
            (0, 0)
        }
    }
}

fn fill_steps(rate: u64, micros: u64) -> u64 {
    let steps = (u128::from(rate) * u128::from(micros)) >> RATE_FRACTION_BITS;
    u64::try_from(steps).unwrap_or(u64::MAX >> 1).min(u64::MAX >> 1)
}

/// Span values in atomics, which the request path reads while the writer may write them.
///
/// A reader that sees a partly written span has loaded a bucket state that is no longer current, so its
/// compare-and-swap fails. Acquire and release ordering on each value guarantees this.
#[derive(Debug, Default)]
pub(super) struct Span([AtomicU64; 7]);

impl Span {
    pub fn load(&self) -> SpanValues {
        let [start, full_rate, full_cap, full_until, own_rate, own_cap, own_until] =
            self.0.each_ref().map(|value| value.load(Ordering::Acquire));
        SpanValues {
            start,
            full_rate,
            full_cap,
            full_until,
            own_rate,
            own_cap,
            own_until,
        }
    }

    pub fn store(&self, v: &SpanValues) {
        let values = [
            v.start,
            v.full_rate,
            v.full_cap,
            v.full_until,
            v.own_rate,
            v.own_cap,
            v.own_until,
        ];
        for (slot, value) in self.0.iter().zip(values) {
            slot.store(value, Ordering::Release);
        }
    }
}
