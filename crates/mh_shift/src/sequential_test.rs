/// Prior weight of a fault that is present from the start; the remaining weight covers faults that start later.
const START_WEIGHT: f64 = 0.5;

/// Sequential test over the evidence of one kind in one scope.
///
/// The statistic is a weighted sum, over possible start times of a fault, of the likelihood ratio since that time. The
/// weights add up to at most 1, so for a version no worse than the old one the sum is a supermartingale that starts at
/// 1 and ever exceeds `1 / p` with probability at most `p` (Ville's inequality). A plain sum of log evidence is not
/// enough: after an hour of good results it would be so far below zero that a late fault would go undetected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SequentialTest {
    log_sum: f64,
}

impl SequentialTest {
    pub(crate) fn new() -> Self {
        Self {
            log_sum: START_WEIGHT.ln(),
        }
    }

    /// Adds a term with prior `weight` for a fault that starts now.
    pub(crate) fn add_start_time(&mut self, weight: f64) {
        if weight > 0.0 {
            let term = weight.ln();
            let max = self.log_sum.max(term);
            self.log_sum = max + ((self.log_sum - max).exp() + (term - max).exp()).ln();
        }
    }

    /// Multiplies every term by a likelihood ratio, given as its logarithm in nats.
    pub(crate) fn multiply_by_log_ratio(&mut self, nats: f64) {
        self.log_sum += nats;
    }

    pub(crate) fn log_sum(self) -> f64 {
        self.log_sum
    }
}
