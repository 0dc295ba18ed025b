use std::fmt;

use super::{CanaryFault, CanarySample};

/// Answers after which the counts are halved, so that a fault that starts late is not hidden by the good answers before.
const RECENT: u32 = 24;

/// Counted answers of one side, the recent ones with more weight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// All answers, with no loss of weight.
    seen: u32,
    count: u32,
    errors: u32,
    timeouts: u32,
    timed: u32,
    ratio_sum: f64,
}

impl Tally {
    pub(crate) fn add(&mut self, sample: &CanarySample) {
        if self.count >= RECENT {
            self.halve();
        }
        self.seen += 1;
        self.count += 1;
        match sample.fault {
            Some(CanaryFault::Error) => self.errors += 1,
            Some(CanaryFault::TimedOut) => self.timeouts += 1,
            None => {}
        }
        if let Some(ratio) = sample.time_ratio {
            self.timed += 1;
            self.ratio_sum += ratio;
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.seen += other.seen;
        self.count += other.count;
        self.errors += other.errors;
        self.timeouts += other.timeouts;
        self.timed += other.timed;
        self.ratio_sum += other.ratio_sum;
    }

    fn halve(&mut self) {
        self.count /= 2;
        self.errors /= 2;
        self.timeouts /= 2;
        self.timed /= 2;
        self.ratio_sum /= 2.0;
    }

    /// All answers so far.
    pub(crate) fn seen(&self) -> u32 {
        self.seen
    }

    pub(crate) fn errors(&self) -> u32 {
        self.errors
    }

    /// Errors and time-outs.
    pub(crate) fn bad(&self) -> u32 {
        self.errors + self.timeouts
    }

    /// `bad` of the answers as a part of all.
    pub(crate) fn rate(&self, bad: u32) -> f64 {
        f64::from(bad) / f64::from(self.count.max(1))
    }

    pub(crate) fn timed(&self) -> u32 {
        self.timed
    }

    pub(crate) fn mean_ratio(&self) -> f64 {
        self.ratio_sum / f64::from(self.timed.max(1))
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seen, errors, timeouts) = (self.seen, self.errors, self.timeouts);
        let ratio = self.mean_ratio();
        write!(
            f,
            "{seen} ({errors} errors, {timeouts} late, {ratio:.1} times the forecast)"
        )
    }
}
