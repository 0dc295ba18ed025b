use super::{CanaryFault, CanarySample};

/// Counted answers of one side.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    count: u32,
    errors: u32,
    timeouts: u32,
    timed: u32,
    ratio_sum: f64,
}

impl Tally {
    pub(crate) fn add(&mut self, sample: &CanarySample) {
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
        self.count += other.count;
        self.errors += other.errors;
        self.timeouts += other.timeouts;
        self.timed += other.timed;
        self.ratio_sum += other.ratio_sum;
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
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
