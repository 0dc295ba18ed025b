use std::time::Duration;

use crate::{Budget, Share};

/// Averaging time of the demand that a share must carry, in seconds.
const SLOW_S: f64 = 15.0;
/// Averaging time that notices a rise of the demand early, in seconds.
const FAST_S: f64 = 2.0;
/// Share wanted beyond the present demand, as a factor.
const HEADROOM: f64 = 1.4;
/// Smallest share that a VM wants, in tokens of burst; below it the VM asks others to decide. Smaller buckets overflow
/// much of their rate: at load 0.95 and 60/60, wanting from 1 token up made 1.1% of the requests fail, from 5 up 0.8%.
const MIN_WANT: u64 = 5;
/// Demand below which a VM wants nothing, in tokens per second.
const IDLE_RATE: f64 = 1e-3;

/// How much of a budget this VM's callers ask for, averaged over time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    asked: u64,
    slow: f32,
    fast: f32,
}

impl Demand {
    /// Takes in the tokens asked for since the meter's start, `elapsed` after the last call.
    pub fn update(&mut self, asked: u64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let rate = (asked - self.asked) as f64 / seconds;
        self.asked = asked;
        let blend =
            |old: f32, time: f64| (f64::from(old) + (rate - f64::from(old)) * seconds / (seconds + time)) as f32;
        self.slow = blend(self.slow, SLOW_S);
        self.fast = blend(self.fast, FAST_S);
    }

    /// Whether nobody has asked for some time, nor since the last update.
    pub fn is_settled(self, asked: u64) -> bool {
        self.is_idle() && self.asked == asked
    }

    /// Whether nobody has asked for some time.
    pub fn is_idle(self) -> bool {
        f64::from(self.slow) < IDLE_RATE
    }

    /// The share that would carry the demand; at most what is wanted.
    pub fn need(self, budget: &Budget) -> Share {
        budget.share_of_rate(f64::from(self.slow)).min(self.want(budget))
    }

    /// The share that would carry the demand with some headroom, in whole tokens of burst.
    pub fn want(self, budget: &Budget) -> Share {
        if self.is_idle() {
            return Share::NONE;
        }
        let rate = f64::from(self.slow.max(self.fast)) * HEADROOM;
        let share = budget.share_of_rate(rate).whole_tokens();
        if share < Share::of_tokens(MIN_WANT) {
            Share::NONE
        } else {
            share
        }
    }
}
