use mh_types::ServerName;
use serde::Serialize;

/// Limit of one server, for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitView {
    /// Name of the server.
    pub server: ServerName,
    /// Requests per second over all VMs.
    pub per_s: f64,
    /// Number of changes of the limit that are known.
    pub change: u32,
    /// Milliseconds since this VM last learned that the server states the limit.
    pub stated_ms_ago: u64,
    /// Whether this VM has admitted requests for the server.
    pub admits_here: bool,
    /// Whether the limit is used up, as far as this VM knows.
    pub full: bool,
}
