use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use hyper::header::HeaderValue;
use mh_edge::PoisonGate;
use mh_poison::Fingerprint;
use mh_route::admission::CallerTime;
use mh_route::objects::{Placement, WorkTimes};
use mh_types::{RegionName, Revision, ServiceName};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::admission_gate::AdmissionGate;
use super::limit_gate::LimitGate;
use super::server_paths::{RequestDial, ServerPaths};
use super::usage_gate::UsageGate;
use crate::{ActiveShift, HeaderNames, HostRoute, LiveState, PlanOrg, ServiceBackends};
use mh_edge::BufferBudget;

/// Time past a route's timeout that is allowed for the arrival of the server's own timeout answer.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// A request with all decisions made before the choice of a server.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) id: ArcStr,
    pub(super) id_header: HeaderValue,
    pub(super) arrived: Instant,
    /// Time at which the caller stops waiting.
    pub(super) deadline: Instant,
    /// Time at which the route's timeout expires.
    pub(super) route_deadline: Instant,
    pub(super) revision: Revision,
    pub(super) route: Arc<HostRoute>,
    pub(super) org: Option<Arc<PlanOrg>>,
    pub(super) service: ServiceName,
    pub(super) backends: Arc<ServiceBackends>,
    pub(super) work_times: Arc<WorkTimes>,
    pub(super) shift: Option<ActiveShift>,
    pub(super) object: Option<u64>,
    /// Regions whose servers may get the request; empty for all.
    pub(super) regions: SmallVec<[RegionName; 4]>,
    pub(super) max_body_bytes: u64,
    /// Memory budget for buffered answers.
    pub(super) buffer_budget: BufferBudget,
    /// Admission of this request, if routes of different priority use its service.
    pub(super) admission: Option<AdmissionGate>,
    pub(super) limits: Arc<LimitGate>,
    pub(super) poison: Arc<PoisonGate>,
    pub(super) paths: Arc<ServerPaths>,
    pub(super) usage: Arc<UsageGate>,
    /// Identifies requests with the same contents; `None` if the body is not known before it is sent.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) headers: Arc<HeaderNames>,
}

impl RequestContext {
    /// Updates the servers and the shift to the current state; seconds may pass before the next attempt of a request.
    pub(super) fn refresh(&mut self, live: &LiveState) {
        if let Some(backends) = live.backends.get(&self.service) {
            self.backends = Arc::clone(backends);
        }
        self.shift = live.shifts.get(&self.service).cloned();
    }

    /// Returns the time until an answer is of no use to the caller.
    pub(super) fn remaining(&self) -> Duration {
        self.effective_deadline().saturating_duration_since(Instant::now())
    }

    /// Returns the time that the caller has, and what is known of the work for it.
    pub(super) fn time(&self) -> CallerTime {
        CallerTime {
            remaining: self.remaining(),
            timeout: self.route.timeout,
            until_deadline: self.deadline.saturating_duration_since(Instant::now()),
            work: self.work_times.with_object(),
            forecast_error: self.work_times.forecast_error(),
        }
    }

    /// Returns the dialer of the connections that the request may use.
    pub(super) fn dialer(&self) -> RequestDial<'_> {
        self.paths.dialer(&self.regions)
    }

    /// Returns the earlier of the caller's deadline and the route's timeout.
    pub(super) fn effective_deadline(&self) -> Instant {
        self.deadline.min(self.route_deadline)
    }

    /// Returns the time at which the wait for a server ends. A server that stops work at its deadline answers shortly
    /// after it.
    pub(super) fn answer_by(&self) -> Instant {
        self.deadline.min(self.route_deadline + ANSWER_GRACE)
    }

    /// Returns the upper half of the object's hash for log lines; zero without an object.
    pub(super) fn object_tag(&self) -> u32 {
        (self.object.unwrap_or_default() >> 32) as u32
    }

    /// Returns whether the request may be sent to another server after the servers that it was lost at.
    pub(super) fn may_retry(&self) -> bool {
        self.fingerprint
            .is_none_or(|fingerprint| self.poison.may_retry(&fingerprint))
    }

    /// Records that a server answered the request.
    pub(super) fn record_answer(&self) {
        if let Some(fingerprint) = &self.fingerprint {
            self.poison.on_answer(fingerprint);
        }
    }

    /// Records that the connection to a server broke while it had the request.
    pub(super) fn record_loss(&self, placement: &Placement) {
        let server = &placement.spec().name;
        if let (Some(fingerprint), Some(connections)) = (self.fingerprint, self.backends.connections(server)) {
            self.poison
                .on_lost(server, Some(placement.run()), connections, fingerprint);
        }
    }

    /// Returns the milliseconds since the request arrived.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }
}
