use std::time::Duration;

use arcstr::ArcStr;
use mh_types::{RegionName, RouteName};
use serde::{Deserialize, Serialize};

use super::{RequestKind, Target, UnusedDuration};

/// A route for requests to one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRoute {
    /// Name, unique in the plan.
    pub name: RouteName,
    /// Host that callers request.
    pub host: ArcStr,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: ArcStr,
    /// Whether its requests may be repeated, and whether they are uploads.
    pub kind: RequestKind,
    /// Longest time for which a caller waits for the response.
    pub timeout: Duration,
    /// Was a duration that no decision depended on.
    pub unused: UnusedDuration,
    /// Largest number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether the route needs no key.
    pub open: bool,
    /// Whether a server that handled an object recently is faster for it.
    pub sticky: bool,
    /// Regions whose servers may serve the requests; empty for all.
    pub regions: Vec<RegionName>,
    /// Services that serve the requests, with their weights. Empty if they cannot be read: the route is known, and its
    /// requests are refused as not run.
    pub targets: Vec<Target>,
}

impl HostRoute {
    /// Creates a route of which only name, host and prefix are known.
    pub fn unreadable(name: RouteName, host: ArcStr, prefix: ArcStr) -> Self {
        Self {
            name,
            host,
            prefix,
            kind: RequestKind::NonIdempotent,
            timeout: Duration::ZERO,
            unused: UnusedDuration,
            max_attempts: 0,
            priority: 0,
            open: false,
            sticky: false,
            regions: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Selects the target of a request in proportion to the weights; `draw` is from 0 to 1.
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
