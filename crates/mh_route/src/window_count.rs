use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;

/// Length of a counting window, in microseconds.
const WINDOW_US: Micros = 250_000;

/// Counter of events in the current time window and the previous one.
///
/// Each word holds the number of the window in its upper half and the count in its lower half. An event that races with
/// the change of windows may be counted in either window.
#[derive(Debug, Default)]
pub(crate) struct WindowCount {
    current: AtomicU64,
    previous: AtomicU64,
}

impl WindowCount {
    pub(crate) fn add(&self, now: Micros) {
        let window = now / WINDOW_US;
        let old = self.current.load(Ordering::Relaxed);
        if old >> 32 == window {
            self.current.fetch_add(1, Ordering::Relaxed);
        } else if self
            .current
            .compare_exchange(old, (window << 32) | 1, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
        {
            self.previous.store(old, Ordering::Relaxed);
        } else {
            self.current.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts of the window before this one and of this one.
    pub(crate) fn counts(&self, now: Micros) -> (u32, u32) {
        let window = now / WINDOW_US;
        let current = self.current.load(Ordering::Relaxed);
        let previous = self.previous.load(Ordering::Relaxed);
        let count_in = |word: u64, wanted: u64| if word >> 32 == wanted { word as u32 } else { 0 };
        if current >> 32 == window {
            (count_in(previous, window.wrapping_sub(1)), current as u32)
        } else {
            (count_in(current, window.wrapping_sub(1)), 0)
        }
    }
}
