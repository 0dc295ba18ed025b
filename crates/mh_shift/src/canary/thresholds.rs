/// Thresholds of a [`Canary`](super::Canary).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryThresholds {
    /// Fraction of this VM's requests that may go to the new version, 0 to 1.
    pub share: f64,
    /// Fewest bad answers (errors and timeouts, or errors alone) for [`Verdict::Failing`](super::Verdict::Failing).
    pub min_bad: u32,
    /// Smallest fraction of bad answers for that verdict.
    pub min_bad_rate: f64,
    /// Smallest multiple of the old version's fraction of bad answers for that verdict, so that a fault that affects
    /// both versions is not attributed to the new one.
    pub min_bad_ratio: f64,
    /// Fewest answers with a measured time for [`Verdict::Slow`](super::Verdict::Slow).
    pub min_timed: u32,
    /// Multiple of the old version's mean time ratio that counts as slow.
    pub slow_ratio: f64,
    /// Fewest answers of the new version for [`Verdict::Good`](super::Verdict::Good), when no fault is found.
    pub min_good: u32,
}

impl Default for CanaryThresholds {
    fn default() -> Self {
        Self {
            share: 0.05,
            min_bad: 3,
            min_bad_rate: 0.15,
            min_bad_ratio: 4.0,
            min_timed: 5,
            slow_ratio: 2.5,
            min_good: 3,
        }
    }
}
