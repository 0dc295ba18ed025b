//! Simulation of many VMs that run a membership protocol over a network with faults.

mod check;
mod heartbeat_mesh;
mod history;
mod protocol;
mod world;

#[allow(unused_imports, reason = "not every test or example uses all items")]
pub use self::{
    check::{Checker, Findings},
    heartbeat_mesh::HeartbeatMesh,
    history::{Faults, run_history},
    protocol::Protocol,
    world::{SimVm, Simulation, TICK, Traffic},
};
