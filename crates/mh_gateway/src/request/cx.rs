use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use hyper::header::HeaderValue;
use mh_route::objects::WorkTimes;
use mh_types::{RegionName, Revision, ServiceName};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::hold_budget::HoldBudget;
use crate::{ActiveShift, HeaderNames, HostRoute, Live, PlanOrg, ServiceBackends};

/// Time past a route's timeout that a server's own answer to it may take to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// One request with all that was decided about it before the choice of a server.
#[derive(Debug)]
pub(super) struct Cx {
    pub(super) id: ArcStr,
    pub(super) id_header: HeaderValue,
    pub(super) arrived: Instant,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// When the route's timeout ends.
    pub(super) timeout: Instant,
    pub(super) revision: Revision,
    pub(super) route: Arc<HostRoute>,
    pub(super) org: Option<Arc<PlanOrg>>,
    pub(super) service: ServiceName,
    pub(super) backends: Arc<ServiceBackends>,
    pub(super) work: Arc<WorkTimes>,
    pub(super) shift: Option<ActiveShift>,
    pub(super) object: Option<u64>,
    /// Regions whose servers may get the request; empty for all.
    pub(super) regions: SmallVec<[RegionName; 4]>,
    pub(super) max_body_bytes: u64,
    /// Room for answers that are read whole.
    pub(super) hold: HoldBudget,
    pub(super) headers: Arc<HeaderNames>,
}

impl Cx {
    /// Takes the servers and the shift that are in force now; a request may take seconds before its next attempt.
    pub(super) fn refresh(&mut self, live: &Live) {
        if let Some(backends) = live.backends.get(&self.service) {
            self.backends = Arc::clone(backends);
        }
        self.shift = live.shifts.get(&self.service).cloned();
    }

    /// Time until an answer is of no use.
    pub(super) fn left(&self) -> Duration {
        self.end().saturating_duration_since(Instant::now())
    }

    /// The earlier of the caller's deadline and the route's timeout.
    pub(super) fn end(&self) -> Instant {
        self.deadline.min(self.timeout)
    }

    /// When the wait for a server ends. A server that stops at the time it was given answers just after it.
    pub(super) fn answer_by(&self) -> Instant {
        self.deadline.min(self.timeout + ANSWER_GRACE)
    }

    /// Short form of the object's hash for log lines; zero without an object.
    pub(super) fn object_tag(&self) -> u32 {
        (self.object.unwrap_or_default() >> 32) as u32
    }

    pub(super) fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }
}
