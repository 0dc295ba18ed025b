use mh_types::{DomainName, RegionName};

use crate::breaker::Breaker;
use crate::clock::Micros;
use crate::window_count::WindowCount;

/// Consecutive failures over all servers of a domain that trip the breaker of the domain.
const DOMAIN_FAILURE_THRESHOLD: u32 = 3;

/// Maximum growth of a domain's picks from one window to the next, as a fraction of all picks in the earlier window.
const MAX_GROWTH_FRACTION: f64 = 0.1;

/// Picks that a domain may always gain in a window. At low traffic, the fraction alone would allow less than one pick.
const MIN_GROWTH_PICKS: f64 = 2.0;

/// Measurements of one failure domain.
#[derive(Debug)]
pub(crate) struct DomainStats {
    pub(crate) domain: DomainName,
    pub(crate) region: RegionName,
    pub(crate) breaker: Breaker,
    pub(crate) picks: WindowCount,
}

impl DomainStats {
    pub(crate) fn new(domain: DomainName, region: RegionName) -> Self {
        Self {
            domain,
            region,
            breaker: Breaker::new(DOMAIN_FAILURE_THRESHOLD),
            picks: WindowCount::default(),
        }
    }

    /// Whether the domain may get another request that a nearer server could take as well.
    ///
    /// A sudden move of much traffic would hit cold caches, so the traffic of a domain grows gradually.
    pub(crate) fn may_grow(&self, all: &WindowCount, now: Micros) -> bool {
        let (before, current) = self.picks.counts(now);
        let (all_before, _) = all.counts(now);
        f64::from(current) < f64::from(before) + MIN_GROWTH_PICKS + MAX_GROWTH_FRACTION * f64::from(all_before)
    }
}
