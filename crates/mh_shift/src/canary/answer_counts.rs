use std::fmt;

use super::{CanaryFault, CanarySample};

/// Number of answers at which the counts are halved, so that earlier good answers do not hide a fault that starts late.
const MAX_RECENT_ANSWERS: u32 = 24;

/// Answer counts of one version, weighted toward recent answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerCounts {
    /// All answers, never halved.
    seen: u32,
    count: u32,
    errors: u32,
    timeouts: u32,
    timed: u32,
    ratio_sum: f64,
}

impl AnswerCounts {
    pub(crate) fn add(&mut self, sample: &CanarySample) {
        if self.count >= MAX_RECENT_ANSWERS {
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

    /// Number of all answers, never halved.
    pub(crate) fn seen(&self) -> u32 {
        self.seen
    }

    pub(crate) fn errors(&self) -> u32 {
        self.errors
    }

    /// Errors and timeouts.
    pub(crate) fn bad(&self) -> u32 {
        self.errors + self.timeouts
    }

    /// `bad` as a fraction of the counted answers.
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

impl fmt::Display for AnswerCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seen, errors, timeouts) = (self.seen, self.errors, self.timeouts);
        let ratio = self.mean_ratio();
        write!(
            f,
            "{seen} ({errors} errors, {timeouts} timeouts, {ratio:.1} times the forecast)"
        )
    }
}
