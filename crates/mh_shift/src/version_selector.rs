use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use mh_types::{DomainName, RouteName};
use tokio::time::Instant;

use crate::route_counters::RouteCounters;
use crate::route_credit::RouteCredit;
use crate::{Fraction, Sample, ShareLimiter, Side, VmContext};

const UNDECIDED: u8 = 0;
const DONE: u8 = 1;
const STOPPED: u8 = 2;

/// Request-path part of a shift: picks a version and counts results, with atomics only.
///
/// [`pick`](Self::pick) returns [`Side::Old`] unless the control path has allowed the new version for a limited time,
/// so a VM that was paused, or whose control path is stalled, falls back to the old version without further action.
#[derive(Debug)]
pub struct VersionSelector {
    created: Instant,
    max_latency_factor: f64,
    limiter: ShareLimiter,
    routes: Box<[RouteName]>,
    domains: Box<[DomainName]>,
    route_credits: Box<[RouteCredit]>,
    counters: Box<[RouteCounters]>,
    new_version_until_us: AtomicU64,
    end: AtomicU8,
}

impl VersionSelector {
    pub(crate) fn new(now: Instant, context: &VmContext, max_latency_factor: f64) -> Self {
        let mut routes = context.routes.clone();
        routes.sort_unstable();
        routes.dedup();
        let mut domains = context.domains.clone();
        domains.push(context.domain.clone());
        domains.sort_unstable();
        domains.dedup();
        Self {
            created: now,
            max_latency_factor,
            limiter: ShareLimiter::new(),
            route_credits: routes.iter().map(|_| RouteCredit::new()).collect(),
            counters: (0..routes.len() * domains.len())
                .map(|_| RouteCounters::default())
                .collect(),
            routes: routes.into(),
            domains: domains.into(),
            new_version_until_us: AtomicU64::new(0),
            end: AtomicU8::new(UNDECIDED),
        }
    }

    /// Picks the version for one request of `route`.
    pub fn pick(&self, now: Instant, route: &RouteName) -> Side {
        match self.end.load(Ordering::Acquire) {
            DONE => return Side::New,
            STOPPED => return Side::Old,
            _ => {}
        }
        if self.offset_us(now) >= self.new_version_until_us.load(Ordering::Acquire) {
            return Side::Old;
        }
        let Ok(at) = self.routes.binary_search(route) else {
            return Side::Old;
        };
        let credit = &self.route_credits[at];
        if self.limiter.try_take(credit.accrue(self.limiter.get())) {
            credit.spend();
            Side::New
        } else {
            Side::Old
        }
    }

    /// Counts the result of one request; ignores a route or failure domain that is not in the shift's lists.
    pub fn observe(&self, sample: &Sample<'_>) {
        let (Ok(r), Ok(d)) = (
            self.routes.binary_search(sample.route),
            self.domains.binary_search(sample.domain),
        ) else {
            return;
        };
        self.counters[r * self.domains.len() + d].add(sample.side, sample.ok, sample.latency, self.max_latency_factor);
    }

    /// Share of requests that go to the new version while it is allowed.
    pub fn share(&self) -> Fraction {
        self.limiter.get()
    }

    /// Whether some requests may go to the new version now.
    pub fn allows_new_version(&self, now: Instant) -> bool {
        match self.end.load(Ordering::Acquire) {
            DONE => true,
            STOPPED => false,
            _ => self.offset_us(now) < self.new_version_until_us.load(Ordering::Acquire),
        }
    }

    pub(crate) fn set_share(&self, share: Fraction) {
        self.limiter.set(share);
    }

    pub(crate) fn allow_new_version_until(&self, until: Option<Instant>) {
        self.new_version_until_us
            .store(until.map_or(0, |u| self.offset_us(u)), Ordering::Release);
    }

    /// Sends every later request to the new version.
    pub(crate) fn set_done(&self) {
        self.end.store(DONE, Ordering::Release);
    }

    /// Sends every later request to the old version.
    pub(crate) fn set_stopped(&self) {
        self.end.store(STOPPED, Ordering::Release);
    }

    pub(crate) fn routes(&self) -> &[RouteName] {
        &self.routes
    }

    pub(crate) fn domains(&self) -> &[DomainName] {
        &self.domains
    }

    pub(crate) fn counters(&self, route: usize, domain: usize) -> &RouteCounters {
        &self.counters[route * self.domains.len() + domain]
    }

    pub(crate) fn old_total(&self) -> u64 {
        self.counters.iter().map(RouteCounters::old_total).sum()
    }

    fn offset_us(&self, at: Instant) -> u64 {
        at.checked_duration_since(self.created)
            .map_or(0, |d: Duration| d.as_micros() as u64)
    }
}
