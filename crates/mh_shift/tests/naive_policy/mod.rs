//! Baseline for differential tests: a random draw for each request and one error threshold for the new version.
#![allow(dead_code, reason = "each test crate uses only part of it")]

use mh_shift::Side;

use crate::sim::rng::Rng;

pub struct NaivePolicy {
    pub share: f64,
    pub max_errors: f64,
    pub rng: Rng,
    new: u64,
    failed: u64,
}

impl NaivePolicy {
    pub fn new(share: f64, max_errors: f64, seed: u64) -> Self {
        Self {
            share,
            max_errors,
            rng: Rng(seed),
            new: 0,
            failed: 0,
        }
    }

    pub fn pick(&mut self) -> Side {
        if self.rng.chance(self.share) {
            Side::New
        } else {
            Side::Old
        }
    }

    pub fn observe(&mut self, side: Side, ok: bool) {
        if side == Side::New {
            self.new += 1;
            self.failed += u64::from(!ok);
        }
    }

    pub fn detects_fault(&self) -> bool {
        self.new >= 50 && self.failed as f64 > self.new as f64 * self.max_errors
    }
}
