use std::time::Duration;

use arcstr::ArcStr;
use mh_types::{RegionName, RouteName};
use serde::{Deserialize, Serialize};

use super::{RequestKind, Target};

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRoute {
    /// Name, unique in the plan.
    pub name: RouteName,
    /// Host that callers ask for.
    pub host: ArcStr,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: ArcStr,
    /// What may be done with its requests.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Whether the route needs no key.
    pub open: bool,
    /// Whether a server that handled an object lately is faster.
    pub sticky: bool,
    /// Regions whose servers may get the requests; empty for all.
    pub regions: Vec<RegionName>,
    /// Services that answer, with their weights. Empty where they cannot be read: the route is known, and its requests
    /// are refused as not run.
    pub targets: Vec<Target>,
}

impl HostRoute {
    /// A route of which only the place is known.
    pub fn unreadable(name: RouteName, host: ArcStr, prefix: ArcStr) -> Self {
        Self {
            name,
            host,
            prefix,
            kind: RequestKind::NonIdempotent,
            timeout: Duration::ZERO,
            latency_target: Duration::ZERO,
            max_attempts: 0,
            priority: 0,
            open: false,
            sticky: false,
            regions: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// The service for a request, in proportion to the weights; `draw` is from 0 to 1.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * total;
        for target in &self.targets {
            rest -= target.weight;
            if rest < 0.0 {
                return Some(target);
            }
        }
        self.targets.last()
    }
}
