use std::sync::atomic::Ordering;

use tokio::time::Instant;

use super::bucket_state::{BucketState, MAX_LEVEL_STEPS, MAX_TIME_US};
use super::span::{RATE_FRACTION_BITS, SpanValues};
use super::{Allowance, Meter, SPAN_COUNT};
use crate::budget::MICROTOKENS_PER_TOKEN;

/// Tokens removed and lost by a change of share, in millionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenMoveResult {
    /// Tokens removed by [`TokenMove::Remove`].
    pub removed: u64,
    /// Tokens dropped because they exceeded the new burst.
    pub lost: u64,
}

/// Change of the level together with a change of share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenMove {
    /// No tokens are added or removed.
    Keep,
    /// Adds tokens, in millionths; tokens that exceed the new burst are lost.
    Add(u64),
    /// Removes the fraction `numerator / denominator` of the level.
    Remove {
        /// Numerator of the fraction to remove.
        numerator: u64,
        /// Denominator of the fraction to remove; zero removes nothing.
        denominator: u64,
    },
}

/// The only handle that changes a [`Meter`]'s share; not cloneable, so that changes never race with each other.
#[derive(Debug)]
pub struct MeterWriter(Meter);

impl MeterWriter {
    pub(super) fn new(meter: Meter) -> Self {
        Self(meter)
    }

    /// The meter that this handle changes.
    pub fn meter(&self) -> &Meter {
        &self.0
    }

    /// Replaces the share and adds or removes tokens while requests continue; returns the tokens removed and lost.
    ///
    /// The bucket is refilled up to `now` at the old share, and its level is then limited to the new burst. Times
    /// beyond 16.7 s from `now` count as 16.7 s.
    pub fn set_share(&mut self, now: Instant, allowance: &Allowance, tokens: TokenMove) -> TokenMoveResult {
        let inner = &*self.0.0;
        loop {
            let bits = inner.state.load(Ordering::Acquire);
            let state = BucketState::unpack(bits);
            let old = self.0.span(state);
            let filled = old.fill_to(state, self.0.micros_in_span(now, &old));
            // The next whole microsecond, so that no part of a microsecond is refilled at both shares.
            let start = (self.0.micros_since_origin(now) + 1).max(old.start + state.time);

            let new = self.values(start, allowance);
            let removed = match tokens {
                TokenMove::Remove { numerator, denominator } if denominator > 0 => {
                    let part = u128::from(filled.level) * u128::from(numerator) / u128::from(denominator);
                    (part as u64).min(filled.level)
                }
                _ => 0,
            };
            let added = if let TokenMove::Add(microtokens) = tokens {
                microtokens >> inner.step_shift
            } else {
                0
            };
            let (_, burst) = new.rate_and_burst(0);
            let held = (filled.level - removed).saturating_add(added);
            let level = held.min(burst);
            let next = BucketState {
                span: state.next_span(),
                time: 0,
                level,
            };
            inner.spans[next.span as usize % SPAN_COUNT].store(&new);
            if inner
                .state
                .compare_exchange(bits, next.pack(), Ordering::AcqRel, Ordering::Acquire)
                .is_ok()
            {
                return TokenMoveResult {
                    removed: removed << inner.step_shift,
                    lost: (held - level) << inner.step_shift,
                };
            }
        }
    }

    fn values(&self, start: u64, allowance: &Allowance) -> SpanValues {
        let step_shift = self.0.0.step_shift;
        let rate = |microtokens: u64| {
            let steps = (u128::from(microtokens) << RATE_FRACTION_BITS) / u128::from(MICROTOKENS_PER_TOKEN);
            (steps >> step_shift) as u64
        };
        let until = |at| self.0.micros_since_origin(at).saturating_sub(start).min(MAX_TIME_US);
        let burst = |microtokens: u64| (microtokens >> step_shift).min(MAX_LEVEL_STEPS);
        let own_until = until(allowance.own_until);
        SpanValues {
            start,
            with_loans_rate: rate(allowance.with_loans_rate),
            with_loans_burst: burst(allowance.with_loans_burst),
            with_loans_until: until(allowance.with_loans_until).min(own_until),
            own_rate: rate(allowance.own_rate),
            own_burst: burst(allowance.own_burst),
            own_until,
        }
    }
}
