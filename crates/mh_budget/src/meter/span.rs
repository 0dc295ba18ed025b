use std::sync::atomic::{AtomicU64, Ordering};

use super::bucket_state::BucketState;

/// Fraction bits of a rate, a fixed-point number of steps per microsecond.
pub(super) const RATE_FRACTION_BITS: u32 = 32;

/// Values of one span, the period between two changes of a meter's share.
///
/// Times are microseconds; `start` counts from the meter's origin and the others from `start`. `with_loans_until` is
/// never after `own_until`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpanValues {
    pub start: u64,
    pub with_loans_rate: u64,
    pub with_loans_burst: u64,
    pub with_loans_until: u64,
    pub own_rate: u64,
    pub own_burst: u64,
    pub own_until: u64,
}

impl SpanValues {
    /// Refills the bucket up to time `at`; the result's time is the time up to which it is filled.
    pub fn fill_to(&self, state: BucketState, at: u64) -> BucketState {
        let mut level = state.level;
        let mut time = state.time;
        if time < self.with_loans_until {
            let end = at.max(time).min(self.with_loans_until);
            level = (level + fill_steps(self.with_loans_rate, end - time)).min(self.with_loans_burst);
            time = end;
        }
        if time >= self.with_loans_until {
            let end = at.max(time).min(self.own_until);
            level = level.min(self.own_burst);
            level = (level + fill_steps(self.own_rate, end - time)).min(self.own_burst);
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
        let (rate, burst) = self.rate_and_burst(filled.time);
        if filled.time == at && filled.level + fill_steps(rate, 1) >= burst {
            return BucketState {
                time: at + 1,
                level: burst - cost,
                ..filled
            };
        }
        BucketState { level, ..filled }
    }

    /// Rate and burst in force at time `at`.
    pub fn rate_and_burst(&self, at: u64) -> (u64, u64) {
        if at < self.with_loans_until {
            (self.with_loans_rate, self.with_loans_burst)
        } else if at < self.own_until {
            (self.own_rate, self.own_burst)
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
        let [
            start,
            with_loans_rate,
            with_loans_burst,
            with_loans_until,
            own_rate,
            own_burst,
            own_until,
        ] = self.0.each_ref().map(|value| value.load(Ordering::Acquire));
        SpanValues {
            start,
            with_loans_rate,
            with_loans_burst,
            with_loans_until,
            own_rate,
            own_burst,
            own_until,
        }
    }

    pub fn store(&self, v: &SpanValues) {
        let values = [
            v.start,
            v.with_loans_rate,
            v.with_loans_burst,
            v.with_loans_until,
            v.own_rate,
            v.own_burst,
            v.own_until,
        ];
        for (slot, value) in self.0.iter().zip(values) {
            slot.store(value, Ordering::Release);
        }
    }
}
