use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

/// Lock-free check on the request path of whether this VM is current.
///
/// The control task publishes [`FreshnessTracker::current_until`](crate::FreshnessTracker::current_until) after every
/// event; requests compare it with the clock they have just read. A paused process therefore refuses requests as soon
/// as it resumes, before the control task runs.
#[derive(Debug)]
pub struct FreshnessGate {
    origin: Instant,
    /// Microseconds after `origin`; 0 means closed.
    until_us: AtomicU64,
}

impl FreshnessGate {
    /// Creates a closed gate. `origin` is any instant at or before the first one published.
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            until_us: AtomicU64::new(0),
        }
    }

    /// Opens the gate until `until`, or closes it when `until` is `None`.
    pub fn publish(&self, until: Option<Instant>) {
        let us = until.map_or(0, |at| at.saturating_duration_since(self.origin).as_micros() as u64);
        self.until_us.store(us, Ordering::Release);
    }

    /// Whether the VM is current at `now`, which the caller must have read from the clock after the request arrived.
    pub fn is_open(&self, now: Instant) -> bool {
        let us = now.saturating_duration_since(self.origin).as_micros() as u64;
        us < self.until_us.load(Ordering::Acquire)
    }
}
