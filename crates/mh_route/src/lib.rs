//! Selection of the backend server for a request.
//!
//! A [`Pool`] holds the state that one VM keeps about the servers of one service. [`Pool::pick`] chooses a server,
//! preferring the VM's own failure domain, then its region, then other regions, and within each the shortest predicted
//! wait. The VM's own measurements take precedence over the load that servers report. The request path uses atomics
//! only; a change of the server list creates a new pool that shares the measurements of the servers that stay.
//!
//! ```
//! use std::time::Duration;
//!
//! use mh_route::prelude::*;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let location = VmLocation { domain: "maine-a".into(), region: "maine".into() };
//! let server = ServerSpec {
//!     name: "stock-1".into(),
//!     addr: "127.0.0.1:8001".parse().expect("a literal address"),
//!     domain: "maine-a".into(),
//!     region: "maine".into(),
//!     version: "v1".into(),
//!     slots: 4,
//!     connections: 330,
//! };
//! let pool = Pool::new(&location, &[server], now);
//!
//! let pick = pool.pick(now, &PickRequest::default(), 7).expect("the server is idle");
//! assert_eq!(pick.spec().name.as_str(), "stock-1");
//! pick.done(now, Outcome::Answered { status: 200, latency: Duration::from_millis(9) });
//! ```

pub mod admission;
mod announced_state;
mod breaker;
mod charge;
mod clock;
mod domain_stats;
pub mod fair;
mod latency;
mod load_report;
mod mean;
pub mod objects;
mod outcome;
mod pick;
mod pick_error;
mod pick_request;
mod pool;
mod rank;
mod retry_budget;
mod server_entry;
mod server_spec;
mod server_stats;
mod service_stats;
mod slot_fractions;
mod tier;
mod view;
mod vm_location;
mod window_count;

pub use announced_state::AnnouncedState;
pub use charge::Charge;
pub use load_report::LoadReport;
pub use outcome::Outcome;
pub use pick::Pick;
pub use pick_error::PickError;
pub use pick_request::PickRequest;
pub use pool::Pool;
pub use retry_budget::RetryBudget;
pub use server_spec::ServerSpec;
pub use slot_fractions::SlotFractions;
pub use tier::Tier;
pub use view::{DomainView, PoolView, ServerState, ServerView};
pub use vm_location::VmLocation;

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        AnnouncedState, Charge, LoadReport, Outcome, Pick, PickError, PickRequest, Pool, RetryBudget, ServerSpec,
        SlotFractions, VmLocation,
    };
}
