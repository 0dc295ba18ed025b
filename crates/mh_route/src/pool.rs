use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mh_types::ServerName;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::breaker::{BreakerState, COLD_RAMP_US, TripCause};
use crate::clock::{Clock, Micros, micros};
use crate::domain_stats::DomainStats;
use crate::rank::Rank;
use crate::server_entry::{ServerEntry, TOTAL_QUEUE_FACTOR};
use crate::server_stats::ServerStats;
use crate::service_stats::ServiceStats;
use crate::{AnnouncedState, LoadReport, Pick, PickError, PickRequest, PoolView, ServerSpec, Tier, VmLocation, view};

/// Latency assumed for a service before its first response, in microseconds.
const INITIAL_LATENCY_US: f64 = 20_000.0;

/// A server ranks as [`Rank::BusyOrSlow`] if its predicted wait exceeds the best one times this factor, plus
/// [`SLOW_MARGIN_US`].
const SLOW_RATIO: f64 = 3.0;

/// Added to the threshold of [`SLOW_RATIO`], in microseconds.
const SLOW_MARGIN_US: f64 = 5_000.0;

/// Backend servers of one service with the measurements of this VM.
#[derive(Debug)]
pub struct Pool {
    location: VmLocation,
    clock: Clock,
    entries: Vec<ServerEntry>,
    service_stats: Arc<ServiceStats>,
}

/// A server that the request may be sent to.
struct Candidate {
    rank: Rank,
    cost_us: f64,
    limit: u32,
    trial: bool,
    index: usize,
}

/// All candidates for one request, and totals over the servers whose breakers let requests pass.
#[derive(Default)]
struct Scan {
    candidates: SmallVec<[Candidate; 16]>,
    /// Requests that this VM may have in flight at all passing servers, queued ones included.
    allowed_in_flight: f64,
    in_flight: u32,
    /// Whether at least one breaker lets requests pass.
    any_passing: bool,
    /// Whether at least one server was skipped because it is at its limit or the budget refused.
    any_at_limit: bool,
}

impl Pool {
    /// Creates a pool of `servers` without any measurements.
    pub fn new(location: &VmLocation, servers: &[ServerSpec], now: Instant) -> Self {
        let empty = Self {
            location: location.clone(),
            clock: Clock::new(now),
            entries: Vec::new(),
            service_stats: Arc::new(ServiceStats::new()),
        };
        empty.rebuild(servers, None)
    }

    /// Creates a pool of `servers` that shares the measurements of those that are in this pool too.
    ///
    /// A server is the same if its name and its address are equal; a new one starts with a ramp, as its caches are
    /// cold.
    pub fn with_servers(&self, servers: &[ServerSpec], now: Instant) -> Self {
        self.rebuild(servers, Some(self.clock.micros(now)))
    }

    fn rebuild(&self, servers: &[ServerSpec], ramp_from: Option<Micros>) -> Self {
        let mut domains: SmallVec<[Arc<DomainStats>; 8]> = SmallVec::new();
        for entry in &self.entries {
            if !domains.iter().any(|domain| Arc::ptr_eq(domain, &entry.domain_stats)) {
                domains.push(Arc::clone(&entry.domain_stats));
            }
        }
        let entries = servers
            .iter()
            .map(|spec| {
                let known = self
                    .entries
                    .iter()
                    .find(|e| e.spec.name == spec.name && e.spec.addr == spec.addr);
                let stats = known.map_or_else(
                    || {
                        let stats = ServerStats::new();
                        if let Some(from) = ramp_from {
                            stats.breaker.start_ramp(from, COLD_RAMP_US);
                        }
                        Arc::new(stats)
                    },
                    |e| Arc::clone(&e.stats),
                );
                let same = |domain: &&Arc<DomainStats>| domain.domain == spec.domain && domain.region == spec.region;
                let domain_stats = domains.iter().find(same).map_or_else(
                    || Arc::new(DomainStats::new(spec.domain.clone(), spec.region.clone())),
                    Arc::clone,
                );
                if !domains.iter().any(|domain| Arc::ptr_eq(domain, &domain_stats)) {
                    domains.push(Arc::clone(&domain_stats));
                }
                ServerEntry {
                    spec: Arc::new(spec.clone()),
                    stats,
                    domain_stats,
                    tier: self.location.tier(spec),
                }
            })
            .collect();
        Self {
            location: self.location.clone(),
            clock: self.clock,
            entries,
            service_stats: Arc::clone(&self.service_stats),
        }
    }

    /// Chooses a server for one request and counts it in flight there; `rnd` breaks ties.
    ///
    /// # Errors
    ///
    /// [`PickError::Unavailable`] if no server is usable and [`PickError::NoCapacity`] if the usable ones are at their
    /// limits or `request.charge` refuses. The request has not run in either case.
    pub fn pick(&self, now: Instant, request: &PickRequest<'_>, rnd: u64) -> Result<Pick, PickError> {
        let now = self.clock.micros(now);
        self.service_stats.last_pick.fetch_max(now, Ordering::Relaxed);
        let mut scan = self.scan(request, rnd, now);
        let result = self.choose(&mut scan, request, now);
        match result {
            Ok(_) => self.service_stats.picks.add(now),
            Err(PickError::NoCapacity) => {
                self.service_stats.no_capacity.fetch_add(1, Ordering::Relaxed);
            }
            Err(PickError::Unavailable) => {
                self.service_stats.unavailable.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }

    fn choose(&self, scan: &mut Scan, request: &PickRequest<'_>, now: Micros) -> Result<Pick, PickError> {
        let at_total_limit = f64::from(scan.in_flight) >= scan.allowed_in_flight.ceil().max(1.0);
        if at_total_limit
            && scan
                .candidates
                .iter()
                .any(|c| c.rank > Rank::Trial && c.rank < Rank::Failed)
        {
            return Err(PickError::NoCapacity);
        }
        Self::demote_slow(&mut scan.candidates);
        self.limit_domain_growth(&mut scan.candidates, now);
        scan.candidates
            .sort_unstable_by(|a, b| a.rank.cmp(&b.rank).then(a.cost_us.total_cmp(&b.cost_us)));
        for candidate in &scan.candidates {
            // Overload of the passing servers must not send requests to failed ones.
            if candidate.rank == Rank::Failed && scan.any_passing {
                break;
            }
            let entry = &self.entries[candidate.index];
            if !entry.stats.reserve(candidate.limit) {
                scan.any_at_limit = true;
                continue;
            }
            if candidate.trial && !Self::reserve_trial(entry, now) {
                entry.stats.release();
                continue;
            }
            let mut pick = Pick {
                spec: Arc::clone(&entry.spec),
                stats: Arc::clone(&entry.stats),
                domain_stats: Arc::clone(&entry.domain_stats),
                service_stats: Arc::clone(&self.service_stats),
                clock: self.clock,
                sent_at: now,
                trial: candidate.trial,
                ended: false,
                awaiting_response: false,
            };
            if request.charge.is_some_and(|charge| !charge.charge(&entry.spec)) {
                scan.any_at_limit = true;
                pick.abandon();
                continue;
            }
            // The announced state may have changed since the scan.
            if entry.stats.announced() != AnnouncedState::Serving {
                pick.abandon();
                continue;
            }
            entry.stats.on_sent(now);
            pick.awaiting_response = true;
            entry.domain_stats.picks.add(now);
            return Ok(pick);
        }
        Err(if scan.any_at_limit {
            PickError::NoCapacity
        } else {
            PickError::Unavailable
        })
    }

    fn scan(&self, request: &PickRequest<'_>, rnd: u64, now: Micros) -> Scan {
        let mut scan = Scan::default();
        let prior_us = match self.service_stats.latency.mean_us() {
            0 => INITIAL_LATENCY_US,
            mean => mean as f64,
        };
        for (index, entry) in self.entries.iter().enumerate() {
            let stats = &entry.stats;
            if request.version.is_some_and(|v| *v != entry.spec.version)
                || request.exclude.contains(&entry.spec.name)
                || stats.announced() != AnnouncedState::Serving
            {
                continue;
            }
            if stats.is_silent(stats.latency.expected_us(prior_us, now), now)
                && stats.breaker.trip(now, TripCause::Silence)
            {
                entry.domain_stats.breaker.on_failure(now, false);
            }
            let reported_at = stats.report_at.load(Ordering::Relaxed);
            let (ramp_draw, cost_draw) = two_draws(rnd ^ (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15));
            let state = match (
                entry.domain_stats.breaker.state(now, reported_at),
                stats.breaker.state(now, reported_at),
            ) {
                (BreakerState::Tripped, _) | (_, BreakerState::Tripped) => BreakerState::Tripped,
                (BreakerState::HalfOpen, _) | (_, BreakerState::HalfOpen) => BreakerState::HalfOpen,
                (BreakerState::Passing(domain_fraction), BreakerState::Passing(server_fraction)) => {
                    BreakerState::Passing(domain_fraction.min(server_fraction))
                }
            };
            let in_flight = stats.in_flight.load(Ordering::Relaxed);
            let mut add = |rank, cost_us, limit, trial| {
                scan.candidates.push(Candidate {
                    rank,
                    cost_us,
                    limit,
                    trial,
                    index,
                });
            };
            match state {
                BreakerState::Passing(ramp) => {
                    scan.any_passing = true;
                    scan.allowed_in_flight +=
                        f64::from(entry.spec.slots) * request.share.all.clamp(0.0, 1.0) * TOTAL_QUEUE_FACTOR * ramp;
                    scan.in_flight += in_flight;
                    let limit = entry.limit(&request.share, ramp, prior_us, now);
                    if in_flight >= limit {
                        scan.any_at_limit = true;
                        continue;
                    }
                    let forecast = entry.forecast(&request.share, prior_us, cost_draw, now);
                    let rank = match entry.tier {
                        _ if ramp_draw >= ramp => Rank::GrowthLimited,
                        _ if !forecast.has_free_slot => Rank::BusyOrSlow,
                        Tier::Domain => Rank::Domain,
                        Tier::Region => Rank::Region,
                        Tier::Other => Rank::Other,
                    };
                    add(rank, forecast.cost_us, limit, false);
                }
                BreakerState::HalfOpen if request.idempotent => add(Rank::Trial, cost_draw, u32::MAX, true),
                BreakerState::HalfOpen => add(Rank::Failed, cost_draw, u32::MAX, true),
                // If no other server is usable, one request at a time may try a failed server before its wait is over,
                // because the fault may have been on this VM. A request that must not run twice is refused instead, so
                // that the caller knows that it has not run.
                BreakerState::Tripped if request.idempotent && !stats.closing.load(Ordering::Relaxed) => {
                    add(Rank::Failed, 1.0 + cost_draw, 1, false);
                }
                BreakerState::Tripped => {}
            }
        }
        scan
    }

    /// Ranks servers that are far slower than the best one as [`Rank::BusyOrSlow`], even if they have a free slot.
    fn demote_slow(candidates: &mut [Candidate]) {
        let is_free = |c: &Candidate| c.rank > Rank::Trial && c.rank < Rank::BusyOrSlow;
        let best = candidates
            .iter()
            .filter(|c| is_free(c))
            .map(|c| c.cost_us)
            .fold(f64::INFINITY, f64::min);
        for candidate in candidates.iter_mut().filter(|c| is_free(c)) {
            if candidate.cost_us > best * SLOW_RATIO + SLOW_MARGIN_US {
                candidate.rank = Rank::BusyOrSlow;
            }
        }
    }

    /// Lowers the rank of failure domains whose traffic grows too fast while a nearer server could take the request.
    fn limit_domain_growth(&self, candidates: &mut [Candidate], now: Micros) {
        let usable = |c: &&Candidate| c.rank > Rank::Trial && c.rank < Rank::GrowthLimited;
        let Some(nearest) = candidates
            .iter()
            .filter(usable)
            .map(|c| self.entries[c.index].tier)
            .min()
        else {
            return;
        };
        for candidate in candidates.iter_mut() {
            let entry = &self.entries[candidate.index];
            if entry.tier > nearest
                && candidate.rank > Rank::Trial
                && candidate.rank < Rank::GrowthLimited
                && !entry.domain_stats.may_grow(&self.service_stats.picks, now)
            {
                candidate.rank = Rank::GrowthLimited;
            }
        }
    }

    fn reserve_trial(entry: &ServerEntry, now: Micros) -> bool {
        let domain_breaker = &entry.domain_stats.breaker;
        if domain_breaker.is_tripped() && !domain_breaker.reserve_trial(now) {
            return false;
        }
        // The breaker of the domain may be tripped while that of the server is not.
        if entry.stats.breaker.is_tripped() && !entry.stats.breaker.reserve_trial(now) {
            domain_breaker.release_trial();
            return false;
        }
        true
    }

    /// Records the state of a server that the server list or a planned drain announces; unknown names are ignored.
    pub fn set_announced_state(&self, name: &ServerName, announced: AnnouncedState, now: Instant) {
        if let Some(entry) = self.entry(name) {
            let before = entry.stats.set_announced(announced);
            if before == AnnouncedState::Gone && announced == AnnouncedState::Serving {
                entry.stats.breaker.start_ramp(self.clock.micros(now), COLD_RAMP_US);
            }
        }
    }

    /// Records a load report that was `reported_age` old when it arrived; unknown names are ignored.
    pub fn on_report(&self, name: &ServerName, report: &LoadReport, reported_age: Duration, now: Instant) {
        if let Some(entry) = self.entry(name) {
            let at = self.clock.micros(now).saturating_sub(micros(reported_age)).max(1);
            let stats = &entry.stats;
            if stats.report_at.fetch_max(at, Ordering::Relaxed) <= at {
                let own = stats.in_flight.load(Ordering::Relaxed);
                stats
                    .report_others
                    .store(report.in_flight.saturating_sub(own), Ordering::Relaxed);
                stats.report_healthy.store(report.healthy, Ordering::Relaxed);
            }
        }
    }

    /// State of every server and domain, for the state dump; times are relative to the last pick.
    pub fn view(&self) -> PoolView {
        view::view(&self.location, &self.entries, &self.service_stats)
    }

    fn entry(&self, name: &ServerName) -> Option<&ServerEntry> {
        self.entries.iter().find(|e| e.spec.name == *name)
    }
}

/// Derives two uniform random numbers in `0..1` from `seed` with the finaliser of `SplitMix64`.
fn two_draws(seed: u64) -> (f64, f64) {
    let mut z = (seed ^ (seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^= z >> 31;
    let unit = |bits: u32| f64::from(bits) / (f64::from(u32::MAX) + 1.0);
    (unit((z >> 32) as u32), unit(z as u32))
}
