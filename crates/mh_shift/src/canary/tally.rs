use super::CanarySample;

/// Counted answers of one side.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    count: u32,
    bad: u32,
    timed: u32,
    ratio_sum: f64,
}

impl Tally {
    pub(crate) fn add(&mut self, sample: &CanarySample) {
        self.count += 1;
        self.bad += u32::from(sample.is_bad);
        if let Some(ratio) = sample.time_ratio {
            self.timed += 1;
            self.ratio_sum += ratio;
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.count += other.count;
        self.bad += other.bad;
        self.timed += other.timed;
        self.ratio_sum += other.ratio_sum;
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn bad(&self) -> u32 {
        self.bad
    }

    pub(crate) fn timed(&self) -> u32 {
        self.timed
    }

    pub(crate) fn bad_rate(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.count.max(1))
    }

    pub(crate) fn mean_ratio(&self) -> f64 {
        self.ratio_sum / f64::from(self.timed.max(1))
    }
}
