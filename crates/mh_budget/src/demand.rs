use std::time::Duration;

use crate::{Budget, Share};

/// Averaging time of the rate that a VM needs, in seconds.
const SLOW_AVERAGE_S: f64 = 15.0;
/// Averaging time of the rate that reacts to rising demand early, in seconds.
const FAST_AVERAGE_S: f64 = 2.0;
/// Ratio of the wanted share to the present demand.
const HEADROOM_FACTOR: f64 = 1.4;
/// Smallest share that a VM wants, in tokens of burst; with less demand the VM asks others to decide. Smaller buckets
/// lose much of their rate to overflow: with a minimum of 1 token instead of 5, 1.1% instead of 0.8% of the requests
/// fail at load 0.95 of a budget of 60/s with burst 60.
const MIN_WANTED_TOKENS: u64 = 5;
/// Demand below which a VM counts as idle and wants no share, in tokens per second.
const IDLE_TOKENS_PER_S: f64 = 1e-3;

/// Tokens per second that this VM's callers request from a budget, averaged over two time constants.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    requested: u64,
    slow_rate: f32,
    fast_rate: f32,
}

impl Demand {
    /// Updates the averages; `requested` counts the tokens since the meter's start, `elapsed` is the time since the
    /// last call.
    pub fn update(&mut self, requested: u64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let rate = (requested - self.requested) as f64 / seconds;
        self.requested = requested;
        let average =
            |old: f32, time: f64| (f64::from(old) + (rate - f64::from(old)) * seconds / (seconds + time)) as f32;
        self.slow_rate = average(self.slow_rate, SLOW_AVERAGE_S);
        self.fast_rate = average(self.fast_rate, FAST_AVERAGE_S);
    }

    /// Whether the demand is idle and no tokens were requested since the last update.
    pub fn is_settled(self, requested: u64) -> bool {
        self.is_idle() && self.requested == requested
    }

    /// Whether the averaged demand is below [`IDLE_TOKENS_PER_S`].
    pub fn is_idle(self) -> bool {
        f64::from(self.slow_rate) < IDLE_TOKENS_PER_S
    }

    /// Share whose rate covers the averaged demand; at most [`want`](Self::want).
    pub fn need(self, budget: &Budget) -> Share {
        budget.share_of_rate(f64::from(self.slow_rate)).min(self.want(budget))
    }

    /// Share whose rate covers the demand with headroom, in whole tokens of burst.
    pub fn want(self, budget: &Budget) -> Share {
        if self.is_idle() {
            return Share::EMPTY;
        }
        let rate = f64::from(self.slow_rate.max(self.fast_rate)) * HEADROOM_FACTOR;
        let share = budget.share_of_rate(rate).whole_tokens();
        if share < Share::of_tokens(MIN_WANTED_TOKENS) {
            Share::EMPTY
        } else {
            share
        }
    }
}
