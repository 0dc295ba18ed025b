//! HTTP gateway that routes requests by host name and path to registered backend servers.
//!
//! A gateway VM reads its routes, organisations and backend servers from a [`Source`]: an external store that reports
//! changes. [`Gateway`] answers callers' requests from an immutable [`LiveState`], which the control loops replace as a
//! whole when the source reports a change. A request passes these stages: routing, authorisation by key, quota, choice
//! of the backend server, forwarding, and validation of the answer.
//!
//! The caller port, the connections to backend servers and the bodies come from `mh_edge` ([`mh_edge::serve_pipelined`],
//! [`mh_edge::ConnectionPool`], [`mh_edge::Upload`], [`mh_edge::ResponseBody`]); its request handler
//! [`mh_edge::Edge`] is not used.
//!
//! Fleet-wide limits are divided among the VMs in advance, so that few requests wait for another VM. The retry budget
//! and the request rate of cold servers are divided by the number of VMs; shares of quotas are lent to the VMs that
//! need them.
//!
//! ```
//! use mh_gateway::{Bounds, Gateway, HeaderNames, LiveState};
//!
//! let gateway = Gateway::new("maine-a-1".into(), HeaderNames::default(), Bounds::default());
//! gateway.publish(LiveState::default());
//! assert!(gateway.live().plan.is_none());
//! ```

mod bounds;
mod control;
mod header_names;
mod interface;
mod limit_peers;
mod live_state;
mod node;
mod placement_settings;
mod plan;
mod quota_peers;
mod request;
mod service_backends;
mod settings;
mod shift_phase;
mod source;
mod suspend_detector;
pub mod time_text;

pub use bounds::Bounds;
pub use control::DeploymentState;
pub use header_names::HeaderNames;
pub use interface::{Interface, LookupQuery};
pub use limit_peers::LimitPeers;
pub use live_state::{ActiveShift, LiveState};
pub use node::{GatewayNode, StopOutcome, run_until_signal};
pub use placement_settings::{Assignment, PlacementSettings};
pub use plan::{
    CallerLimits, HostRoute, Plan, PlanChange, PlanOrg, PlanService, RequestKind, Target, UnreadableParts,
    UnusedDuration,
};
pub use quota_peers::QuotaPeers;
pub use request::{Counters, Gateway, LimitGate, ServerPaths, UsageGate, serve_gateway};
pub use service_backends::ServiceBackends;
pub use settings::{BoundSettings, GatewayListen, GatewaySettings, LookupMode, PlacementMode, UsageSettings};
pub use shift_phase::ShiftPhase;
pub use source::{
    AnnouncedVm, Batch, ChangesRead, Feed, RegisteredServer, ShiftOrder, ShiftRecord, Source, StoredQuarantine, Update,
    UsageReporter, WriteOutcome,
};
pub use suspend_detector::SuspendDetector;
