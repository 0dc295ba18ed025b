//! Admission of requests to a service whose servers are short, in order of urgency.
//!
//! [`Admission`] measures which requests use up the time of their callers by waiting for a server. While more urgent
//! requests do, less urgent ones that would join a queue are refused at once with the time after which the work ahead of
//! them is done. Without a measured shortage nothing is refused. It reads no clock and does no I/O.
//!
//! ```
//! use std::time::Duration;
//!
//! use mh_route::admission::{Admission, AdmissionRequest, AdmissionRoute};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let route = |name: &str, priority| AdmissionRoute {
//!     name: name.into(),
//!     priority,
//! };
//! let admission = Admission::new(vec![route("reads", 2), route("holds", 1)], vec![0], now).expect("priorities differ");
//! let request = AdmissionRequest {
//!     rank: admission.rank(&"reads".into(), 0).expect("the route is known"),
//!     org: 0,
//!     remaining: Duration::from_secs(3),
//! };
//! let wait = Duration::from_millis(300);
//! assert!(admission.judge(now, &request, wait, wait * 2, 7).is_ok());
//! ```

mod admitted;
mod condition;
mod decayed_share;
mod request;
mod return_schedule;
mod service_admission;
mod view;

pub use request::{AdmissionRequest, AdmissionRoute, RankIndex};
pub use service_admission::Admission;
pub use view::{AdmissionView, RankView};
