use serde::{Deserialize, Serialize};

/// Response of a server's health and load endpoint.
///
/// Reports are delayed and may be wrong, so they only affect the order of servers without newer measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Whether the server reports itself healthy.
    pub healthy: bool,
    /// Requests running or queued at the server, from all VMs.
    pub in_flight: u32,
}
