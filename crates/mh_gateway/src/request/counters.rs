use std::sync::atomic::{AtomicU64, Ordering};

/// What happened to requests since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that reached the caller port.
    pub requests: AtomicU64,
    /// Requests answered by a backend server.
    pub served: AtomicU64,
    /// Requests refused as not run.
    pub refused: AtomicU64,
    /// Requests that ended without an answer and may have run.
    pub failed: AtomicU64,
    /// Requests sent to a second server.
    pub retries: AtomicU64,
    /// Connections made to backend servers.
    pub connects: AtomicU64,
    /// Look-ups answered.
    pub lookups: AtomicU64,
    /// Requests running now.
    pub running: AtomicU64,
}

/// Counts a request as running until dropped.
pub(super) struct Running<'a>(&'a AtomicU64);

impl<'a> Running<'a> {
    pub(super) fn start(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn add_lookup(counters: &Counters) {
    add(&counters.lookups);
}
