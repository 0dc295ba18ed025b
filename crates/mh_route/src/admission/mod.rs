//! Admission of requests to a service whose servers are short, in order of urgency.
//!
//! A request that has to wait for a slot delays those that come to the same server after it. [`Admission`] refuses it if
//! more urgent callers probably come while it is there, and the queue would be too long for them to be answered in time.
//! What counts is the time that callers have, the work ahead at that server, and the measured error of forecasts. It reads
//! no clock and does no I/O.
//!
//! ```
//! use std::time::Duration;
//!
//! use mh_route::admission::{Admission, AdmissionRequest, AdmissionRoute, CallerTime, ServerQueue};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let route = |name: &str, priority| AdmissionRoute {
//!     name: name.into(),
//!     priority,
//! };
//! let admission = Admission::new(vec![route("reads", 2), route("holds", 1)], vec![0], now).expect("priorities differ");
//! let request = AdmissionRequest {
//!     level: admission.level(&"reads".into(), 0).expect("the route is known"),
//!     time: CallerTime {
//!         remaining: Duration::from_secs(1),
//!         timeout: Duration::from_secs(1),
//!         until_deadline: Duration::from_secs(3),
//!         work: Duration::from_millis(200),
//!         forecast_error: Duration::from_millis(50),
//!     },
//! };
//! // Nobody more urgent comes to the server.
//! let queue = ServerQueue {
//!     wait: Duration::from_millis(300),
//!     delay: Duration::from_millis(50),
//!     ..ServerQueue::default()
//! };
//! assert!(admission.judge(now, &request, &queue, 7).is_ok());
//! ```

mod caller_time;
mod fleet;
mod level;
mod rate;
mod recent_callers;
mod request;
mod return_schedule;
mod server_queue;
mod service_admission;
mod view;

pub use caller_time::CallerTime;
pub use recent_callers::CallerAges;
pub(crate) use recent_callers::RecentCallers;
pub use request::{AdmissionRequest, AdmissionRoute, LevelIndex};
pub use return_schedule::MAX_RETURN_FRACTION;
pub use server_queue::ServerQueue;
pub use service_admission::{Admission, GivesWay};
pub use view::{AdmissionView, LevelView};
