/// Smallest and largest odds ratio that a test assumes for a faulty version.
const ODDS_RATIO_RANGE: (f64, f64) = (2.0, 200.0);

/// Odds ratio between failure probabilities `bad` and `base`, clamped to [`ODDS_RATIO_RANGE`].
pub(crate) fn odds_ratio(base: f64, bad: f64) -> f64 {
    ((bad / (1.0 - bad)) / (base / (1.0 - base))).clamp(ODDS_RATIO_RANGE.0, ODDS_RATIO_RANGE.1)
}

/// Log likelihood ratio, in nats, of the new version having `odds_ratio` times the old one's odds of failure, against
/// equal odds.
///
/// The ratio is conditional on the total number of failures of both versions (Fisher's noncentral against the central
/// hypergeometric distribution). Its expectation is 1 when both versions have the same failure rate, whatever that rate
/// is, so a fault that affects both versions is no evidence against the new one.
pub(crate) fn log_likelihood_ratio(new: u64, new_failed: u64, old: u64, old_failed: u64, odds_ratio: f64) -> f64 {
    let failed = new_failed + old_failed;
    if new == 0 || old == 0 || failed == 0 || failed == new + old {
        return 0.0;
    }
    let min_new_failed = failed.saturating_sub(old);
    let max_new_failed = new.min(failed);
    let log_odds_ratio = odds_ratio.ln();
    let mut log_weight = 0.0_f64;
    let mut null = LogSumExp::default();
    let mut alternative = LogSumExp::default();
    for j in min_new_failed..=max_new_failed {
        null.add(log_weight);
        alternative.add(log_weight + j as f64 * log_odds_ratio);
        if j < max_new_failed {
            let up = (new - j) as f64 * (failed - j) as f64;
            let down = (j + 1) as f64 * (old + j + 1 - failed) as f64;
            log_weight += (up / down).ln();
        }
    }
    new_failed as f64 * log_odds_ratio + null.value() - alternative.value()
}

/// Logarithm of a sum, accumulated from the logarithms of its terms without overflow.
#[derive(Debug)]
struct LogSumExp {
    max: f64,
    scaled: f64,
}

impl Default for LogSumExp {
    fn default() -> Self {
        Self {
            max: f64::NEG_INFINITY,
            scaled: 0.0,
        }
    }
}

impl LogSumExp {
    fn add(&mut self, term: f64) {
        if term > self.max {
            self.scaled = self.scaled * (self.max - term).exp() + 1.0;
            self.max = term;
        } else {
            self.scaled += (term - self.max).exp();
        }
    }

    fn value(&self) -> f64 {
        self.max + self.scaled.ln()
    }
}
