use serde::{Deserialize, Serialize};

use crate::Fraction;

/// Tolerated difference between the new and the old version, and the evidence that a step up needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Error rate that the new version may have above the old one at the same time and in the same failure domain, as a
    /// fraction of requests.
    pub max_error_excess: Fraction,
    /// Largest median latency of the new version, as a multiple of the old one's.
    pub max_latency_factor: f64,
    /// Number of new-version requests, over all VMs, that each route with traffic needs before a step up.
    pub min_samples: u32,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            max_error_excess: Fraction::from_millionths(20_000),
            max_latency_factor: 2.0,
            min_samples: 100,
        }
    }
}
