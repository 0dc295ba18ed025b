mod gateway_node;
mod membership;
mod metrics;
mod node_peers;
mod pending_replies;
mod ports;
mod shutdown;
mod state_dump;
mod supervise;
mod tunnel_port;
mod unlisted_vm;

pub use gateway_node::GatewayNode;
pub use shutdown::{StopOutcome, run_until_signal};

pub(crate) use unlisted_vm::UnlistedVm;
