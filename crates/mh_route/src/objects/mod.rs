//! Placing by object: requests about one object go to the few servers that already hold it.
//!
//! A server that handled an object recently answers about it several times faster. With few slots a server, the spare
//! capacity of a service is therefore mostly a matter of sending each object to the same server. [`ObjectPool`] orders
//! the servers of a service for each object by rendezvous hashing, predicts for each server when it would answer, and
//! chooses the earliest. A busy first choice spills to the next one only when the wait exceeds what the second server
//! loses by not holding the object. A request that no server can answer in time is refused at once, with the time
//! after which there will be room.
//!
//! It answers the load of a fleet near its capacity whose servers cache what they handle; [`Pool`](crate::Pool) answers
//! the load of interchangeable servers.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use mh_route::objects::{Listed, ObjectAsk, ObjectPool, Places, WorkTimes};
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
//! let pool = ObjectPool::new(&[Listed::serving(spec)], None, 0.0, 1, &Places::default(), now);
//! let work = Arc::new(WorkTimes::new(Duration::from_millis(400)));
//!
//! let ask = ObjectAsk::new(Some(17), Duration::from_secs(1), &work);
//! let placed = pool.place(now, &ask, 7).expect("the server is idle");
//! assert_eq!(placed.spec().name.as_str(), "stock-1");
//! placed.done(now, Outcome::Answered { status: 200, latency: Duration::from_millis(90) });
//! ```

mod ask;
mod cold_pace;
mod listed;
mod placed;
mod places;
mod pool;
mod recent;
mod refused;
mod rendezvous;
mod server_view;
mod track;
mod work_times;

pub use ask::{ObjectAsk, Versions};
pub use listed::Listed;
pub use placed::Placed;
pub use places::Places;
pub use pool::ObjectPool;
pub use refused::Refused;
pub use server_view::ObjectServerView;
pub use work_times::WorkTimes;
