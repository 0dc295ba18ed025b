/// Rate limit of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineLimit {
    /// Lines per second of level info or lower.
    pub info_per_s: u32,
    /// Lines per second over all levels. The difference is reserved for faults, so that they are logged even when
    /// request lines reach their limit.
    pub all_per_s: u32,
}

impl LineLimit {
    /// No limit but the size of the queue.
    pub const NONE: Self = Self {
        info_per_s: u32::MAX,
        all_per_s: u32::MAX,
    };
}

impl Default for LineLimit {
    /// About two lines per request for a small VM under peak load. At about 10 microseconds per line, this bounds the
    /// CPU time of logging.
    fn default() -> Self {
        Self {
            info_per_s: 150,
            all_per_s: 200,
        }
    }
}
