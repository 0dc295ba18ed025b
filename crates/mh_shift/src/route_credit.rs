use std::sync::atomic::{AtomicI64, Ordering};

use crate::Fraction;

/// Credit that one request to the new version costs.
const REQUEST_COST: i64 = Fraction::ONE.millionths() as i64;

/// Credit of one route, which keeps the routes of one VM at equal shares of the new version.
///
/// Without it, a periodic mix of routes can send every new-version request to the same route, and the other routes get
/// no evidence. It only declines requests; [`ShareLimiter`](crate::ShareLimiter) enforces the limit.
#[derive(Debug)]
pub(crate) struct RouteCredit(AtomicI64);

impl RouteCredit {
    pub(crate) fn new() -> Self {
        Self(AtomicI64::new(REQUEST_COST))
    }

    /// Counts one request of the route and returns whether its credit allows the new version.
    pub(crate) fn accrue(&self, share: Fraction) -> bool {
        let grown = (self.0.load(Ordering::Relaxed) + i64::from(share.millionths())).min(REQUEST_COST);
        self.0.store(grown, Ordering::Relaxed);
        grown >= REQUEST_COST / 2
    }

    /// Subtracts the cost of a request that went to the new version.
    pub(crate) fn spend(&self) {
        self.0.fetch_sub(REQUEST_COST, Ordering::Relaxed);
    }
}
