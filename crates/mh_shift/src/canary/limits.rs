/// Thresholds of a [`Canary`](super::Canary).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryLimits {
    /// Part of this VM's requests that may go to the new version, 0 to 1.
    pub share: f64,
    /// Bad answers before the version can be found failing.
    pub min_bad: u32,
    /// Part of the answers that must be bad.
    pub bad_rate: f64,
    /// Multiple of the old version's bad part that the new one must reach, so that a fault that strikes both versions
    /// is not held against the new one.
    pub bad_ratio: f64,
    /// Timed answers before the version can be found slow.
    pub min_timed: u32,
    /// Multiple of the old version's time that counts as slow.
    pub slow_ratio: f64,
    /// Answers of the new version without a fault that make it good.
    pub min_good: u32,
}

impl Default for CanaryLimits {
    fn default() -> Self {
        Self {
            share: 0.05,
            min_bad: 3,
            bad_rate: 0.15,
            bad_ratio: 4.0,
            min_timed: 5,
            slow_ratio: 2.5,
            min_good: 3,
        }
    }
}
