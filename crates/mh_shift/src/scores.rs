use serde::{Deserialize, Serialize};

/// Number of tests for errors in each scope, for faults of different strength.
pub(crate) const ERROR_TESTS: usize = 3;
/// Number of tests in each scope: those for errors, then two for slowness.
pub(crate) const TESTS: usize = ERROR_TESTS + 2;

/// Cumulative counts and evidence of one VM in one scope: a route, or all routes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scores {
    /// Finished new-version requests.
    pub new: u32,
    /// Failed new-version requests.
    pub new_errors: u32,
    /// New-version requests that are slow relative to the old version's latency at the same time in the same failure
    /// domain.
    pub new_slow: u32,
    /// Finished old-version requests.
    pub old: u32,
    /// Evidence against the new version in thousandths of a nat: errors (weak, medium, strong fault), then slowness
    /// (weak, strong).
    pub millinats: [i32; TESTS],
}
