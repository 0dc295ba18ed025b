use serde::{Deserialize, Serialize};

/// Bounds on the requests that callers pipeline.
///
/// Beyond them, requests wait for their turn and the connection is not read further.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct PipelineBounds {
    /// Maximum number of requests of one connection that run at the same time; 1 turns reading ahead off.
    pub connection_requests: usize,
    /// Maximum bytes that are held for one connection.
    pub connection_bytes: usize,
    /// Maximum number of requests of all connections that were started before their turn.
    pub requests: usize,
    /// Maximum bytes that are held for all connections.
    pub bytes: usize,
}

impl Default for PipelineBounds {
    fn default() -> Self {
        Self {
            connection_requests: 8,
            connection_bytes: 16 * 1024,
            requests: 512,
            bytes: 4 * 1024 * 1024,
        }
    }
}
