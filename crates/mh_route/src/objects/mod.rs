//! Placement by object: requests for an object go to the few servers that already hold it in their caches.
//!
//! A server that handled an object recently answers requests for it several times faster. With few slots per server,
//! the spare capacity of a service therefore depends mostly on sending each object to the same server. [`ObjectPool`]
//! orders the servers of a service for each object by rendezvous hashing, predicts when each of them would answer, and
//! chooses the earliest. Requests overflow from a busy first choice to the second only if the wait exceeds the time
//! that the second server loses by not holding the object. A request that no server can answer in time is refused at
//! once, with the time after which capacity is expected.
//!
//! It suits fleets near their capacity whose servers cache the objects that they handle; [`Pool`](crate::Pool) suits
//! interchangeable servers.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use mh_route::objects::{ListedServer, ObjectPool, ObjectRequest, RegionDistribution, WorkTimes};
//! use mh_route::{Outcome, ServerSpec};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let spec = ServerSpec {
//!     name: "stock-1".into(),
//!     addr: "127.0.0.1:8001".parse().expect("a literal address"),
//!     domain: "maine-a".into(),
//!     region: "maine".into(),
//!     version: "v1".into(),
//!     slots: 4,
//!     connections: 330,
//! };
//! let pool = ObjectPool::new(&[ListedServer::serving(spec)], None, 0.0, 1, &RegionDistribution::default(), now);
//! let work = Arc::new(WorkTimes::new(Duration::from_millis(200), Duration::from_millis(600)));
//!
//! let request = ObjectRequest::new(Some(17), Duration::from_secs(1), &work);
//! let placement = pool.place(now, &request, 7).expect("the server is idle");
//! assert_eq!(placement.spec().name.as_str(), "stock-1");
//! placement.done(now, Outcome::Answered { status: 200, latency: Duration::from_millis(90) });
//! ```

pub mod assignment;
mod atomic_f64;
mod cold_rate_limiter;
mod demand;
mod listed_server;
mod newest_load;
mod object_request;
mod placement;
mod placement_error;
mod pool;
mod pool_assignment;
mod recent_objects;
mod region_distribution;
mod rendezvous;
mod report_clocks;
mod server_load;
mod server_stats;
mod server_view;
mod work_times;

pub(crate) use atomic_f64::AtomicF64;
pub use demand::{
    DemandDistribution, DemandMeter, DemandMsg, DemandRound, DomainFractions, FleetDemandView, MAX_DOMAIN_STEP,
    MAX_REGION_STEP, ServiceCapacity, next_step, target_fractions,
};
pub use listed_server::ListedServer;
pub use object_request::{ObjectRequest, VersionFilter};
pub use placement::Placement;
pub use placement_error::PlacementError;
pub use pool::ObjectPool;
pub use region_distribution::RegionDistribution;
pub use report_clocks::ReportClocks;
pub use server_load::{AgedLoad, ServerLoad};
pub use server_view::{ObjectServerView, StatedLoadView};
pub use work_times::WorkTimes;
