use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use super::cell_order::mix;

/// Number of objects that a comparison of two assignments samples. Each takes two searches; more of them would cost more
/// than the cells themselves.
const SAMPLES: u64 = 256;

/// Fraction of the objects for which `before` and `after` choose different first servers, from a fixed sample.
pub fn moved_fraction<S: PartialEq>(before: impl Fn(u64) -> Option<S>, after: impl Fn(u64) -> Option<S>) -> f64 {
    let moved = (0..SAMPLES).map(mix).filter(|object| before(*object) != after(*object));
    moved.count() as f64 / SAMPLES as f64
}

/// Moves of objects between servers since the start, in parts per million of a service's objects.
#[derive(Debug, Default)]
pub struct MoveCounts {
    changes: AtomicU64,
    moved_ppm: AtomicU64,
    minimum_ppm: AtomicU64,
}

impl MoveCounts {
    /// Records a change of the assignment that moved the fraction `moved` of the objects; `minimum` is the fraction
    /// that any assignment with these shares has to move.
    pub fn record(&self, moved: f64, minimum: f64) {
        self.changes.fetch_add(1, Ordering::Relaxed);
        self.moved_ppm.fetch_add((moved * 1e6) as u64, Ordering::Relaxed);
        self.minimum_ppm.fetch_add((minimum * 1e6) as u64, Ordering::Relaxed);
    }

    /// The present sums.
    pub fn totals(&self) -> MoveTotals {
        MoveTotals {
            changes: self.changes.load(Ordering::Relaxed),
            moved_ppm: self.moved_ppm.load(Ordering::Relaxed),
            minimum_ppm: self.minimum_ppm.load(Ordering::Relaxed),
        }
    }
}

/// Sums of the moves of one service since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MoveTotals {
    /// Number of changes of the assignment.
    pub changes: u64,
    /// Sum of the moved fractions of the objects, in parts per million.
    pub moved_ppm: u64,
    /// Sum of the minimum fractions, in parts per million.
    pub minimum_ppm: u64,
}
