use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest wait for the headers of a request.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits of the product's own caller port.
    fn default() -> Self {
        let cfg = mh_edge::EdgeCfg::default();
        Self {
            max_header_bytes: cfg.max_header_bytes,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: cfg.header_timeout,
            idle_timeout: cfg.header_timeout,
        }
    }
}
