//! The caller port of an entry VM: look-ups, request pipeline and connections to backend servers.
//!
//! [`Edge`] handles each request with an immutable [`LiveState`] that the control loops replace as a whole. [`serve`]
//! serves it on a TCP listener. The steps of a request are: route match, key check, rate limit, operation id, choice of
//! the backend server, forwarding.
//!
//! The crate `mh_gateway` has a request pipeline of its own: it uses [`serve_pipelined`], [`ConnectionPool`], [`Upload`] and
//! [`ResponseBody`] of this crate, but not [`Edge`].
//!
//! ```
//! use mh_edge::{Edge, EdgeCfg, LiveState};
//! use mh_once::Owner;
//! use mh_types::Incarnation;
//! use tokio::time::Instant;
//!
//! let owner = Owner::new("maine-a-1".into(), Incarnation(1), Instant::now());
//! let edge = Edge::new(owner, EdgeCfg::default());
//! edge.publish(LiveState::default());
//! assert_eq!(edge.live().snapshot.revision.0, 0);
//! ```

mod admission;
mod backends;
mod buffer_budget;
mod caller_stream;
mod cfg;
mod connection_pool;
mod crash_peers;
mod deadline;
mod deferred;
mod dial;
mod edge;
mod final_status;
mod forward;
mod head_limited_stream;
mod headers;
mod live_state;
mod lookup;
mod operations;
mod pipeline;
mod poison_gate;
mod protocol_timeout_stream;
mod refusal;
mod request_id;
mod response_body;
mod serve;
mod socket;
mod upload;
mod version_gate;

pub use admission::admit_request;
pub use backends::{Backends, PickedServer};
pub use buffer_budget::{BufferBudget, BufferPermit};
pub use cfg::EdgeCfg;
pub use connection_pool::{ANY_IDLE_TIME, Connection, ConnectionPool};
pub use crash_peers::CrashPeers;
pub use deferred::{DeferredRequest, DeliveryOutcome};
pub use dial::{ConnectionPath, Dial, Dialed, DirectDial, ServerStream, connect_to_server};
pub use edge::{Counters, Edge};
pub use final_status::is_final_status;
pub use headers::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER, strip_hop_by_hop, total_bytes};
pub use live_state::{LiveState, VmChoice};
pub use lookup::{LOOKUP_PATH, LookupResponse};
pub use operations::{BoxFuture, EdgeLinks, Operations};
pub use pipeline::{PipelineBounds, PipelineLoad, Pipelining, StartAhead, may_run_concurrently};
pub use poison_gate::PoisonGate;
pub use refusal::{Problem, Refusal};
pub use response_body::{BodyError, BodyObserver, ResponseBody};
pub use serve::{CallerPort, PortLimits, serve, serve_pipelined, serve_with};
pub use socket::set_options;
pub use upload::{Upload, UploadProgress, drain, read_body};
pub use version_gate::VersionGate;
