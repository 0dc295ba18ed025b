use std::time::Duration;

use mh_config::Problem;
use mh_edge::{EdgeCfg, PipelineBounds};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::vm_settings::{check_range, spanned};

/// Limits of the caller port and of backend connections in the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Timeout for a request's headers, which also applies to an idle connection, in milliseconds.
    pub header_timeout_ms: Spanned<u64>,
    /// Timeout between two chunks of a request's or an answer's body, in milliseconds.
    pub body_timeout_ms: Spanned<u64>,
    /// Timeout for a caller to read more of an answer, in milliseconds.
    pub write_timeout_ms: Spanned<u64>,
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: Spanned<usize>,
    /// Maximum number of headers in a request.
    pub max_headers: Spanned<usize>,
    /// Maximum size of a request body that is buffered for retries, in bytes.
    pub max_replay_bytes: Spanned<u64>,
    /// Maximum number of caller connections open at the same time.
    pub max_connections: Spanned<usize>,
    /// Timeout for opening a connection to a backend server, in milliseconds.
    pub connect_timeout_ms: Spanned<u64>,
    /// Maximum number of attempts for an idempotent request, each at a different server.
    pub max_tries: Spanned<u32>,
    /// Bounds on the requests that callers pipeline.
    pub pipelining: PipelineBounds,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let cfg = EdgeCfg::default();
        let ms = |limit: Duration| spanned(limit.as_millis() as u64);
        Self {
            header_timeout_ms: ms(cfg.header_timeout),
            body_timeout_ms: ms(cfg.body_timeout),
            write_timeout_ms: ms(cfg.write_timeout),
            max_header_bytes: spanned(cfg.max_header_bytes),
            max_headers: spanned(cfg.max_headers),
            max_replay_bytes: spanned(cfg.max_replay_bytes),
            max_connections: spanned(cfg.max_connections),
            connect_timeout_ms: ms(cfg.connect_timeout),
            max_tries: spanned(cfg.max_tries),
            pipelining: cfg.pipelining,
        }
    }
}

impl LimitSettings {
    pub(crate) fn check(&self, place: &str, problems: &mut Vec<Problem>) {
        let times = [
            ("limits.header_timeout_ms", &self.header_timeout_ms),
            ("limits.body_timeout_ms", &self.body_timeout_ms),
            ("limits.write_timeout_ms", &self.write_timeout_ms),
        ];
        for (field, value) in times {
            check_range(problems, place, field, value, 100, 300_000);
        }
        check_range(
            problems,
            place,
            "limits.connect_timeout_ms",
            &self.connect_timeout_ms,
            10,
            30_000,
        );
        // The parser's buffer holds 64 KiB; headers of the maximum size must fit together with the request line.
        check_range(
            problems,
            place,
            "limits.max_header_bytes",
            &self.max_header_bytes,
            1024,
            48 * 1024,
        );
        check_range(problems, place, "limits.max_headers", &self.max_headers, 10, 1000);
        check_range(
            problems,
            place,
            "limits.max_replay_bytes",
            &self.max_replay_bytes,
            0,
            16 * 1024 * 1024,
        );
        check_range(
            problems,
            place,
            "limits.max_connections",
            &self.max_connections,
            1,
            1_000_000,
        );
        check_range(problems, place, "limits.max_tries", &self.max_tries, 1, 10);
    }

    pub(crate) fn edge_cfg(&self) -> EdgeCfg {
        let ms = |value: &Spanned<u64>| Duration::from_millis(value.value);
        EdgeCfg {
            header_timeout: ms(&self.header_timeout_ms),
            body_timeout: ms(&self.body_timeout_ms),
            write_timeout: ms(&self.write_timeout_ms),
            max_header_bytes: self.max_header_bytes.value,
            max_headers: self.max_headers.value,
            max_replay_bytes: self.max_replay_bytes.value,
            max_connections: self.max_connections.value,
            connect_timeout: ms(&self.connect_timeout_ms),
            max_tries: self.max_tries.value,
            pipelining: self.pipelining,
            ..EdgeCfg::default()
        }
    }
}
