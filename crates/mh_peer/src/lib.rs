//! Messages between VMs, sent with capnp-rpc over TCP.
//!
//! capnp-rpc objects are bound to one thread, so [`PeerNet`] runs them on a dedicated thread and is itself a cheap
//! handle that other threads clone. Incoming calls go to a [`PeerHandler`].
//!
//! ```no_run
//! # use mh_peer::{Hello, PeerNet, PeerHandler};
//! # use std::sync::Arc;
//! # async fn demo(handler: Arc<dyn PeerHandler>, hello: Hello) -> Result<(), mh_types::Code> {
//! let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|_| mh_types::Code::BindFailed)?;
//! let net = PeerNet::start(listener, handler).map_err(|_| mh_types::Code::Internal)?;
//! let answer = net.exchange("127.0.0.1:7400".parse().unwrap(), hello, Vec::new()).await?;
//! println!("{} answers", answer.from.vm);
//! # Ok(())
//! # }
//! ```
//!
//! The code for the schema in `schema/peer.capnp` is generated and committed; `docs/developers.md` has the command.

mod call;
mod changes;
mod codec;
mod connection_pool;
mod handler;
mod hello;
mod net;
mod operation;
mod peer_server;

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    clippy::renamed_function_params,
    clippy::unimplemented,
    clippy::unwrap_used,
    missing_debug_implementations,
    missing_docs,
    redundant_imports,
    redundant_lifetimes,
    unused_lifetimes,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use changes::Changes;
pub use handler::{BoxFuture, PeerHandler};
pub use hello::{Exchange, Hello, PROTOCOL, Part};
pub use net::PeerNet;
pub use operation::{Operation, OperationAnswer, OperationError};
