use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of headers.
    pub max_header_bytes: usize,
    /// Most bytes of a body.
    pub max_body_bytes: u64,
    /// Longest wait for the headers of a request.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits of the product's own caller port.
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
