use std::sync::atomic::{AtomicU64, Ordering};

use crate::Fraction;

/// Credit that one request to the new version costs.
const REQUEST_COST: u64 = Fraction::ONE.millionths() as u64;

/// Limits which requests of one VM may go to the new version.
///
/// Each request adds the share to the credit, which is capped at 1, and a request to the new version costs 1. Of any
/// `n` consecutive requests at most `share * n + 1` go to the new version, and of the first `n` at most `share * n`.
#[derive(Debug, Default)]
pub struct ShareLimiter {
    rate: AtomicU64,
    credit: AtomicU64,
}

impl ShareLimiter {
    /// Creates a limiter with share zero and no credit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the share for later requests; credit already earned stays.
    pub fn set(&self, share: Fraction) {
        self.rate.store(u64::from(share.millionths()), Ordering::Relaxed);
    }

    /// Current share.
    pub fn get(&self) -> Fraction {
        Fraction::from_millionths(self.rate.load(Ordering::Relaxed) as u32)
    }

    /// Counts one request and returns whether it goes to the new version.
    ///
    /// With `eligible` false the request goes to the old version and its credit is kept.
    pub fn try_take(&self, eligible: bool) -> bool {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return false;
        }
        let spend = |credit: u64| eligible && credit + rate >= REQUEST_COST;
        let next = |credit: u64| {
            Some(if spend(credit) {
                credit + rate - REQUEST_COST
            } else {
                (credit + rate).min(REQUEST_COST)
            })
        };
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok_and(spend)
    }
}
