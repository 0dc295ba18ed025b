//! Serves routes by host name from a register of backend servers.
//!
//! A gateway VM takes its routes, organisations and backend servers from a [`Source`]: a store that others write and
//! that tells what changed. [`Gateway`] answers the requests of callers from an immutable [`Live`] state; the control
//! loops replace it as a whole when the source tells a change. A request passes these steps: route, key, quota, choice
//! of the backend server, sending, and the check of the answer.
//!
//! What VMs share over a fleet is divided beforehand, so that few requests wait for another VM. The retry budget and the
//! pace of cold servers are divided by the number of VMs; shares of quotas are lent to the VMs that need them.
//!
//! ```
//! use mh_gateway::{Bounds, Gateway, HeaderNames, Live};
//!
//! let gateway = Gateway::new("maine-a-1".into(), HeaderNames::default(), Bounds::default());
//! gateway.publish(Live::default());
//! assert!(gateway.live().plan.is_none());
//! ```

mod bounds;
mod control;
mod header_names;
mod interface;
mod live;
mod logging;
mod node;
mod pause;
mod plan;
mod quota_peers;
mod request;
mod service_backends;
mod settings;
mod shift_phase;
mod source;
pub mod time_text;

pub use bounds::Bounds;
pub use control::DeploymentState;
pub use header_names::HeaderNames;
pub use interface::{Interface, LookupQuery};
pub use live::{ActiveShift, Live};
pub use logging::{LineLimit, flush_logging, init_logging};
pub use node::{GatewayNode, Stopped, run_until_signal};
pub use pause::BootClock;
pub use plan::{CallerLimits, HostRoute, Plan, PlanChange, PlanOrg, PlanService, RequestKind, Target, UnreadableParts};
pub use quota_peers::QuotaPeers;
pub use request::{Counters, Gateway};
pub use service_backends::ServiceBackends;
pub use settings::{GatewayListen, GatewaySettings, PromiseSettings};
pub use shift_phase::ShiftPhase;
pub use source::{AnnouncedVm, Batch, Feed, RegisteredServer, ShiftOrder, ShiftRecord, Source, Update, WriteOutcome};
