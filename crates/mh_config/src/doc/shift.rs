use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use super::Checker;

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Name of the service within the same team.
    pub service: String,
    /// Version that serves now.
    pub from: String,
    /// Version that takes over.
    pub to: String,
    /// Largest share of requests for the new version while the shift runs, in percent.
    pub cap_percent: f64,
    /// Time by which the shift is done or taken back, RFC 3339.
    pub deadline: Timestamp,
    /// Limits beyond which the new version counts as faulty.
    #[serde(default)]
    pub guard: Guard,
    /// Whether an operator took the shift back.
    #[serde(default)]
    pub taken_back: bool,
}

/// Limits beyond which a new version counts as faulty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// Largest excess of the new version's error rate over the old version's, in percent of requests.
    pub max_error_excess_percent: f64,
    /// Largest ratio of the new version's latency to the old version's.
    pub max_latency_factor: f64,
    /// Requests needed on each route before the share of the new version is raised.
    pub min_samples: u32,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            max_error_excess_percent: 2.0,
            max_latency_factor: 2.0,
            min_samples: 20,
        }
    }
}

impl Shift {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_name("service", &self.service);
        checker.check_name("from", &self.from);
        checker.check_name("to", &self.to);
        checker.check_unique("from/to", [self.from.as_str(), self.to.as_str()].into_iter());
        checker.check_range("cap_percent", self.cap_percent, 0.01, 100.0);
        checker.check_range(
            "guard.max_error_excess_percent",
            self.guard.max_error_excess_percent,
            0.0,
            100.0,
        );
        checker.check_range("guard.max_latency_factor", self.guard.max_latency_factor, 1.01, 100.0);
        checker.check_range("guard.min_samples", self.guard.min_samples, 1, 100_000);
    }
}
