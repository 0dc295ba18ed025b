use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Micros;
use crate::objects::AtomicF64;

/// Half-life of a counted event, in microseconds: changes of the rate show within a few seconds.
const HALF_LIFE_US: f64 = 2_000_000.0;

/// Rate of events, of which older ones count less.
///
/// Concurrent updates may lose an event, which changes the rate little.
#[derive(Debug)]
pub(super) struct Rate {
    events: AtomicF64,
    at: AtomicU64,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            events: AtomicF64::new(0.0),
            at: AtomicU64::new(0),
        }
    }
}

impl Rate {
    /// Counts an event.
    pub(super) fn record(&self, now: Micros) {
        self.events.set(self.events.get() * self.factor(now) + 1.0);
        self.at.fetch_max(now, Ordering::Relaxed);
    }

    /// Events a second.
    pub(super) fn per_s(&self, now: Micros) -> f64 {
        self.events.get() * self.factor(now) * std::f64::consts::LN_2 / HALF_LIFE_US * 1e6
    }

    fn factor(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.at.load(Ordering::Relaxed)) as f64;
        (-age / HALF_LIFE_US).exp2()
    }
}
