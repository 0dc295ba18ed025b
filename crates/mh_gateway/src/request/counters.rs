use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use super::timings::Timings;

/// Counters of requests and store calls since the process started.
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
    /// Attempts after the first.
    pub retries: AtomicU64,
    /// Requests that a server did not admit because of the limit that it stated.
    pub full: AtomicU64,
    /// Requests refused because more urgent ones were late.
    pub yielded: AtomicU64,
    /// Connections made to backend servers.
    pub connects: AtomicU64,
    /// Tunnels to backend servers through other VMs.
    pub tunnels: AtomicU64,
    /// Tunnels to backend servers that this VM has opened for others.
    pub tunnels_for_others: AtomicU64,
    /// Look-ups answered.
    pub lookups: AtomicU64,
    /// Requests that are running now.
    pub running: AtomicU64,
    /// Calls to the store that succeeded.
    pub store_reads: AtomicU64,
    /// Calls to the store that failed.
    pub store_failures: AtomicU64,
    /// Bytes of requests and responses on the caller port, as far as their sizes are known when they begin.
    pub caller_bytes: AtomicU64,
    /// Answers of other VMs with changes that this VM missed.
    pub fetches: AtomicU64,
    pub(super) timings: OnceLock<Timings>,
}

impl Counters {
    /// Sets the latency metrics; until then latencies are not recorded.
    pub(crate) fn set_timings(&self, timings: Timings) {
        // A second call has no effect.
        let _ = self.timings.set(timings);
    }

    /// Returns the latency metrics.
    pub(super) fn timings(&self) -> Option<&Timings> {
        self.timings.get()
    }
}

/// Guard that counts a request as running until it is dropped.
pub(super) struct RunningGuard<'a>(&'a AtomicU64);

impl<'a> RunningGuard<'a> {
    pub(super) fn start(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn count_lookup(counters: &Counters) {
    increment(&counters.lookups);
}
