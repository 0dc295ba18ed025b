//! The caller port: look-ups, request pipeline and backend connections.
//!
//! [`Edge`] answers one request after the other from an immutable [`Live`] state that the control loops replace as a
//! whole. [`serve`] binds it to a TCP listener. A request passes these steps: route, key, allowance, operation id,
//! choice of the backend server, forwarding.
//!
//! ```
//! use mh_edge::{Edge, EdgeCfg, Live};
//! use mh_once::Owner;
//! use mh_types::Incarnation;
//! use tokio::time::Instant;
//!
//! let owner = Owner::new("maine-a-1".into(), Incarnation(1), Instant::now());
//! let edge = Edge::new(owner, EdgeCfg::default());
//! edge.publish(Live::default());
//! assert_eq!(edge.live().snapshot.revision.0, 0);
//! ```

mod admission;
mod answer_body;
mod answer_stream;
mod backends;
mod cfg;
mod connections;
mod deadline;
mod deferred;
mod edge;
mod forward;
mod headers;
mod live;
mod lookup;
mod opening;
mod operations;
mod refusal;
mod request_id;
mod serve;
mod upload;
mod version_gate;

pub use admission::take_one;
pub use answer_body::{AnswerBody, BodyError, Ending};
pub use backends::{Backends, Picked};
pub use cfg::EdgeCfg;
pub use connections::{ANY_AGE, Connection, Connections};
pub use deferred::{DeferredRequest, Delivery};
pub use edge::{Counters, Edge};
pub use headers::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER, strip_hop_by_hop, total_bytes};
pub use live::{Live, VmChoice};
pub use lookup::{LOOKUP_PATH, LookupAnswer};
pub use operations::{BoxFuture, EdgeLinks, Operations};
pub use refusal::{Problem, Refusal};
pub use serve::{PortLimits, Server, serve, serve_with};
pub use upload::{Upload, UploadProgress, drain, hold};
pub use version_gate::VersionGate;
