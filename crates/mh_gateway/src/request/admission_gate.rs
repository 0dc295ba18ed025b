use std::sync::Arc;
use std::time::Duration;

use mh_route::admission::{Admission, AdmissionRequest, CallerTime, GivesWay, LevelIndex};
use mh_route::objects::Placement;
use mh_types::RouteName;
use tokio::time::Instant;

use crate::PlanOrg;

/// Admission of one request to its service.
#[derive(Clone, Debug)]
pub(super) struct AdmissionGate {
    admission: Arc<Admission>,
    level: LevelIndex,
}

impl AdmissionGate {
    /// Creates the gate of a request; `None` if its route is not one of the service.
    pub(super) fn new(admission: &Arc<Admission>, route: &RouteName, org: Option<&PlanOrg>) -> Option<Self> {
        Some(Self {
            admission: Arc::clone(admission),
            // Requests without an organisation are the least urgent.
            level: admission.level(route, org.map_or(u32::MAX, |org| org.priority))?,
        })
    }

    /// Returns the urgency of the request.
    pub(super) fn level(&self) -> LevelIndex {
        self.level
    }

    /// Decides about a placed request.
    pub(super) fn judge(&self, placement: &Placement, time: CallerTime) -> Result<(), GivesWay> {
        let now = Instant::now();
        self.admission
            .judge(now, &self.request(time), &placement.queue(now), rand::random())
    }

    /// Records that no server was chosen, and spreads the times at which callers return; see
    /// [`Admission::on_not_placed`].
    pub(super) fn on_not_placed(&self, room_in: Option<Duration>, time: CallerTime) -> Option<Duration> {
        self.admission
            .on_not_placed(Instant::now(), &self.request(time), room_in, rand::random())
    }

    fn request(&self, time: CallerTime) -> AdmissionRequest {
        AdmissionRequest {
            level: self.level,
            time,
        }
    }
}
