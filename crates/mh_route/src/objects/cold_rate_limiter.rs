use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// Rate limiter for requests to a cold server, which tolerates only a few per second over all VMs.
#[derive(Debug, Default)]
pub(crate) struct ColdRateLimiter {
    cold_until: AtomicU64,
    next_request_at: AtomicU64,
}

impl ColdRateLimiter {
    /// Records that the server is cold until `until`. The first request is allowed after `first_gap`, so that VMs that
    /// discover the server at the same moment do not all send at once.
    pub(crate) fn start(&self, now: Micros, until: Micros, first_gap: Micros) {
        let before = self.cold_until.fetch_max(until, Ordering::Relaxed);
        if before <= now {
            self.next_request_at.store(now + first_gap, Ordering::Relaxed);
        }
    }

    pub(crate) fn is_cold(&self, now: Micros) -> bool {
        now < self.cold_until.load(Ordering::Relaxed)
    }

    pub(crate) fn allows_request(&self, now: Micros) -> bool {
        !self.is_cold(now) || now >= self.next_request_at.load(Ordering::Relaxed)
    }

    /// Admits a request if one is due; the next one is due after `gap`.
    pub(crate) fn acquire(&self, now: Micros, gap: Micros) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let step = |next_request_at: u64| (now >= next_request_at).then(|| now + gap);
        self.next_request_at
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}
