use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// Objects remembered for each server; a collision only costs a wrong forecast.
const PLACES: usize = 64;

/// Time after which a server is assumed to have dropped an object, in microseconds.
const KEEP_US: Micros = 30_000_000;

/// Bits of an entry that hold the time in milliseconds; the others hold the object's tag.
const TIME_BITS: u32 = 40;

/// The objects that this VM sent to a server lately.
#[derive(Debug)]
pub(crate) struct Recent([AtomicU64; PLACES]);

impl Recent {
    pub(crate) fn new() -> Self {
        Self([const { AtomicU64::new(0) }; PLACES])
    }

    pub(crate) fn note(&self, object: u64, now: Micros) {
        self.place(object).store(tag(object) | millis(now), Ordering::Relaxed);
    }

    pub(crate) fn holds(&self, object: u64, now: Micros) -> bool {
        let entry = self.place(object).load(Ordering::Relaxed);
        let at = entry & ((1 << TIME_BITS) - 1);
        entry != 0 && entry & !((1 << TIME_BITS) - 1) == tag(object) && millis(now).saturating_sub(at) < KEEP_US / 1000
    }

    fn place(&self, object: u64) -> &AtomicU64 {
        &self.0[(object % PLACES as u64) as usize]
    }
}

fn tag(object: u64) -> u64 {
    object & !((1 << TIME_BITS) - 1)
}

fn millis(now: Micros) -> u64 {
    (now / 1000) & ((1 << TIME_BITS) - 1)
}
