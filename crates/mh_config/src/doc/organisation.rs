use serde::{Deserialize, Serialize};

use super::Checker;

/// Highest rate that can be set, in requests per second.
const MAX_RATE_PER_SECOND: f64 = 10_000_000.0;

/// An organisation and its rate limit over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Requests per second over all VMs together.
    pub rate_per_second: f64,
    /// Burst size: requests accepted at once over all VMs together.
    pub burst: u32,
}

impl Organisation {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_range("rate_per_second", self.rate_per_second, 0.001, MAX_RATE_PER_SECOND);
        checker.check_range("burst", self.burst, 1, 10_000_000);
    }
}
