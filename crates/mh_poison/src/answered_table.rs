use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::Fingerprint;

/// Number of entries. A request overwrites the entry of another one with the same index.
const ENTRIES: usize = 4096;

/// Bits of an entry that hold the time of the answer, in ticks.
const TIME_BITS: u32 = 24;

/// Length of a tick: with 24 bits, times repeat after 19 days.
const TICK: Duration = Duration::from_millis(100);

/// Recent answers by fingerprint: a fixed table of atomics for the request path.
#[derive(Debug)]
pub struct AnsweredTable {
    start: Instant,
    /// Part of the fingerprint, then the time of the answer plus one; zero while unused.
    entries: Box<[AtomicU64]>,
}

impl AnsweredTable {
    /// Creates an empty table.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            entries: (0..ENTRIES).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Records that a server answered a request with this fingerprint.
    pub fn record(&self, now: Instant, fingerprint: &Fingerprint) {
        let (index, tag) = place(fingerprint);
        self.entries[index].store(tag | self.ticks(now), Ordering::Relaxed);
    }

    /// Returns whether a server answered such a request after `since`.
    pub fn is_answered_since(&self, since: Instant, fingerprint: &Fingerprint) -> bool {
        let (index, tag) = place(fingerprint);
        let entry = self.entries[index].load(Ordering::Relaxed);
        let time_mask = (1 << TIME_BITS) - 1;
        entry & !time_mask == tag && entry & time_mask > self.ticks(since)
    }

    fn ticks(&self, at: Instant) -> u64 {
        let ticks = at.saturating_duration_since(self.start).as_millis() / TICK.as_millis();
        (ticks as u64 + 1) & ((1 << TIME_BITS) - 1)
    }
}

fn place(fingerprint: &Fingerprint) -> (usize, u64) {
    let bits = fingerprint.bits();
    (bits as usize % ENTRIES, bits >> TIME_BITS << TIME_BITS)
}
