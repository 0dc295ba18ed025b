use std::sync::Arc;

use mh_shift::{Sample, Side, VersionSelector};
use mh_types::{DomainName, RouteName, VersionName};
use tokio::time::Instant;

/// Chooses the version of a service for each request while a version shift runs.
#[derive(Debug)]
pub struct VersionGate {
    /// Selector that decides between the two versions and collects samples.
    pub selector: Arc<VersionSelector>,
    /// Version that traffic moves away from.
    pub from: VersionName,
    /// Version that traffic moves to.
    pub to: VersionName,
}

/// The version chosen for one request, with what is needed to record its result.
#[derive(Clone, Debug)]
pub(crate) struct VersionPick {
    version_gate: Arc<VersionGate>,
    route: RouteName,
    side: Side,
}

impl VersionGate {
    pub(crate) fn pick(self: &Arc<Self>, now: Instant, route: &RouteName) -> VersionPick {
        VersionPick {
            version_gate: Arc::clone(self),
            route: route.clone(),
            side: self.selector.pick(now, route),
        }
    }
}

impl VersionPick {
    pub(crate) fn version(&self) -> &VersionName {
        match self.side {
            Side::Old => &self.version_gate.from,
            Side::New => &self.version_gate.to,
        }
    }

    /// Returns the old version as a fallback if the new one was chosen and has no available server.
    pub(crate) fn fallback(&self) -> Option<Self> {
        (self.side == Side::New).then(|| Self {
            side: Side::Old,
            ..self.clone()
        })
    }

    pub(crate) fn observe(&self, domain: &DomainName, ok: bool, latency: std::time::Duration) {
        self.version_gate.selector.observe(&Sample {
            route: &self.route,
            side: self.side,
            domain,
            ok,
            latency,
        });
    }
}
