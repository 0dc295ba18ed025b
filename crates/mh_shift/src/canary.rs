//! A shift of which only a few VMs expose the new version until its verdict.
//!
//! The other way of this crate, [`Shift`](crate::Shift), lets every VM expose a share and adds up evidence from all of
//! them. Where the number of bad answers is bounded over the whole fleet, thinly spread evidence is slow: with 85 VMs
//! the fiftieth bad answer arrives before any VM saw a second one. A [`Canary`] is held by the few VMs that expose the
//! new version; each sees enough of it to decide alone, and the first that finds a fault ends the shift for all.

mod limits;
mod sample;
mod tally;
mod verdict;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use mh_types::RouteName;

pub use limits::CanaryLimits;
pub use sample::{CanaryFault, CanarySample};
pub use verdict::Verdict;

use tally::Tally;

/// Unit of the exposure credit.
const CREDIT_UNIT: u64 = 1_000_000;

/// Evidence of one VM about a new version, and the share of requests that it exposes.
#[derive(Debug)]
pub struct Canary {
    limits: CanaryLimits,
    credit: AtomicU64,
    routes: Mutex<HashMap<RouteName, Sides>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sides {
    old: Tally,
    new: Tally,
}

impl Canary {
    /// A canary that has seen nothing.
    pub fn new(limits: CanaryLimits) -> Self {
        Self {
            limits,
            credit: AtomicU64::new(0),
            routes: Mutex::default(),
        }
    }

    /// Counts a request of the service and tells whether it may go to the new version.
    ///
    /// Exposure is earned request by request, so it holds for any stretch of time. At most one request is saved up.
    pub fn expose(&self) -> bool {
        let earned = (self.limits.share.clamp(0.0, 1.0) * CREDIT_UNIT as f64) as u64;
        let step = |credit: u64| {
            let credit = (credit + earned).min(2 * CREDIT_UNIT - 1);
            Some(if credit >= CREDIT_UNIT {
                credit - CREDIT_UNIT
            } else {
                credit
            })
        };
        let before = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        before.is_ok_and(|before| before + earned >= CREDIT_UNIT)
    }

    /// Records how a request to either version ended.
    pub fn observe(&self, route: &RouteName, sample: CanarySample) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let sides = routes.entry(route.clone()).or_default();
        let side = if sample.is_new { &mut sides.new } else { &mut sides.old };
        side.add(&sample);
    }

    /// What the evidence says now.
    pub fn verdict(&self) -> Verdict {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = Sides::default();
        for sides in routes.values() {
            if let Some(reason) = self.fault(sides) {
                return reason;
            }
            all.old.merge(&sides.old);
            all.new.merge(&sides.new);
        }
        if let Some(reason) = self.fault(&all) {
            return reason;
        }
        if all.new.seen() >= self.limits.min_good {
            Verdict::Good
        } else {
            Verdict::Open
        }
    }

    /// The evidence by route, for log lines.
    pub fn summary(&self) -> String {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let sides = routes
            .iter()
            .map(|(route, sides)| format!("{route}: old {} new {}", sides.old, sides.new));
        sides.collect::<Vec<_>>().join("; ")
    }

    fn fault(&self, sides: &Sides) -> Option<Verdict> {
        let limits = &self.limits;
        let (new, old) = (&sides.new, &sides.old);
        // Overload makes both versions time out, which would hide the errors of the new one in a common count.
        let failing = [(new.errors(), old.errors()), (new.bad(), old.bad())];
        let failing = failing.into_iter().any(|(new_bad, old_bad)| {
            let rate = new.rate(new_bad);
            new_bad >= limits.min_bad && rate >= limits.bad_rate && rate >= old.rate(old_bad) * limits.bad_ratio
        });
        if failing {
            return Some(Verdict::Failing);
        }
        let slow = new.timed() >= limits.min_timed && new.mean_ratio() >= old.mean_ratio().max(1.0) * limits.slow_ratio;
        slow.then_some(Verdict::Slow)
    }
}
