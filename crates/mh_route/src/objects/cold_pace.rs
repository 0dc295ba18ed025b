use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// Spaces the requests to a cold server, which tolerates only a few a second over all VMs.
#[derive(Debug, Default)]
pub(crate) struct ColdPace {
    until: AtomicU64,
    next: AtomicU64,
}

impl ColdPace {
    /// Records that the server is cold until `until`; the first request waits for `first_gap`, so that VMs that learn
    /// of the server at the same moment do not all send at once.
    pub(crate) fn start(&self, now: Micros, until: Micros, first_gap: Micros) {
        let before = self.until.fetch_max(until, Ordering::Relaxed);
        if before <= now {
            self.next.store(now + first_gap, Ordering::Relaxed);
        }
    }

    pub(crate) fn is_cold(&self, now: Micros) -> bool {
        now < self.until.load(Ordering::Relaxed)
    }

    pub(crate) fn has_room(&self, now: Micros) -> bool {
        !self.is_cold(now) || now >= self.next.load(Ordering::Relaxed)
    }

    /// Takes the next request's turn; `gap` is the time until the one after it.
    pub(crate) fn take(&self, now: Micros, gap: Micros) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let step = |next: u64| (now >= next).then(|| now + gap);
        self.next
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}
