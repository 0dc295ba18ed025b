use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// Objects recorded for each server; a collision only makes a forecast wrong.
const CAPACITY: usize = 64;

/// Time after which a server is assumed to have evicted an object, in microseconds.
const RETENTION_US: Micros = 30_000_000;

/// Bits of an entry that hold the time in milliseconds; the others hold the object's tag.
const TIME_BITS: u32 = 40;

/// Objects of the requests that a server answered recently for this VM.
#[derive(Debug)]
pub(crate) struct RecentObjects([AtomicU64; CAPACITY]);

impl RecentObjects {
    pub(crate) fn new() -> Self {
        Self([const { AtomicU64::new(0) }; CAPACITY])
    }

    pub(crate) fn record(&self, object: u64, now: Micros) {
        self.slot(object).store(tag(object) | millis(now), Ordering::Relaxed);
    }

    pub(crate) fn holds(&self, object: u64, now: Micros) -> bool {
        let entry = self.slot(object).load(Ordering::Relaxed);
        let at = entry & ((1 << TIME_BITS) - 1);
        entry != 0
            && entry & !((1 << TIME_BITS) - 1) == tag(object)
            && millis(now).saturating_sub(at) < RETENTION_US / 1000
    }

    fn slot(&self, object: u64) -> &AtomicU64 {
        &self.0[(object % CAPACITY as u64) as usize]
    }
}

fn tag(object: u64) -> u64 {
    object & !((1 << TIME_BITS) - 1)
}

fn millis(now: Micros) -> u64 {
    (now / 1000) & ((1 << TIME_BITS) - 1)
}
