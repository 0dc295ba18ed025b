use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mh_types::ServerName;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::breaker::{COLD_RAMP_US, Cause, Gate};
use crate::clock::{Clock, Micros, micros};
use crate::entry::{Entry, TOTAL_QUEUE};
use crate::place::Place;
use crate::rank::Rank;
use crate::seen::Seen;
use crate::shared::Shared;
use crate::{Ask, Home, LoadReport, Mark, NoServer, Pick, PoolView, ServerSpec, Tier, view};

/// Latency assumed before the first answer, in microseconds.
const FIRST_LATENCY_US: f64 = 20_000.0;

/// A server whose predicted wait is this many times the best one, and `SLOW_EXTRA_US` more, ranks as crowded.
const SLOW_RATIO: f64 = 3.0;

/// See [`SLOW_RATIO`]; in microseconds.
const SLOW_EXTRA_US: f64 = 5_000.0;

/// The backend servers of one service as one VM sees them.
#[derive(Debug)]
pub struct Pool {
    home: Home,
    clock: Clock,
    entries: Vec<Entry>,
    shared: Arc<Shared>,
}

/// A server that may take the request.
struct Candidate {
    rank: Rank,
    cost_us: f64,
    limit: u32,
    trial: bool,
    index: usize,
}

/// All candidates for one request, and the sums over the servers that are open.
#[derive(Default)]
struct Scan {
    candidates: SmallVec<[Candidate; 16]>,
    /// Part of the open servers' slots that this VM may fill, with the queue.
    allowed: f64,
    in_flight: u32,
    /// Some server is open to traffic.
    open: bool,
    /// Some server refused for lack of capacity.
    full: bool,
}

impl Pool {
    /// A pool with `servers`, none of them observed yet.
    pub fn new(home: &Home, servers: &[ServerSpec], now: Instant) -> Self {
        let empty = Self {
            home: home.clone(),
            clock: Clock::new(now),
            entries: Vec::new(),
            shared: Arc::new(Shared::new()),
        };
        empty.rebuild(servers, None)
    }

    /// A pool with `servers` that keeps the observations of those that stay.
    ///
    /// A server stays if its name and its address are the same; a new one starts with a cold ramp.
    pub fn with_servers(&self, servers: &[ServerSpec], now: Instant) -> Self {
        self.rebuild(servers, Some(self.clock.micros(now)))
    }

    fn rebuild(&self, servers: &[ServerSpec], ramp_from: Option<Micros>) -> Self {
        let mut places: SmallVec<[Arc<Place>; 8]> = SmallVec::new();
        for entry in &self.entries {
            if !places.iter().any(|p| Arc::ptr_eq(p, &entry.place)) {
                places.push(Arc::clone(&entry.place));
            }
        }
        let entries = servers
            .iter()
            .map(|spec| {
                let known = self
                    .entries
                    .iter()
                    .find(|e| e.spec.name == spec.name && e.spec.addr == spec.addr);
                let seen = known.map_or_else(
                    || {
                        let seen = Seen::new();
                        if let Some(from) = ramp_from {
                            seen.breaker.start_ramp(from, COLD_RAMP_US);
                        }
                        Arc::new(seen)
                    },
                    |e| Arc::clone(&e.seen),
                );
                let same = |p: &&Arc<Place>| p.domain == spec.domain && p.region == spec.region;
                let place = places.iter().find(same).map_or_else(
                    || Arc::new(Place::new(spec.domain.clone(), spec.region.clone())),
                    Arc::clone,
                );
                if !places.iter().any(|p| Arc::ptr_eq(p, &place)) {
                    places.push(Arc::clone(&place));
                }
                Entry {
                    spec: Arc::new(spec.clone()),
                    seen,
                    place,
                    tier: self.home.tier(spec),
                }
            })
            .collect();
        Self {
            home: self.home.clone(),
            clock: self.clock,
            entries,
            shared: Arc::clone(&self.shared),
        }
    }

    /// Chooses a server for one request and counts it in flight there; `rnd` breaks ties.
    ///
    /// # Errors
    ///
    /// [`NoServer::Unavailable`] if no server is usable and [`NoServer::AtLimit`] if the usable ones are at their
    /// limits or `ask.charge` refuses. The request has not run in either case.
    pub fn pick(&self, now: Instant, ask: &Ask<'_>, rnd: u64) -> Result<Pick, NoServer> {
        let now = self.clock.micros(now);
        self.shared.last_pick.fetch_max(now, Ordering::Relaxed);
        let mut scan = self.scan(ask, rnd, now);
        let result = self.choose(&mut scan, ask, now);
        match result {
            Ok(_) => self.shared.picks.add(now),
            Err(NoServer::AtLimit) => {
                self.shared.no_capacity.fetch_add(1, Ordering::Relaxed);
            }
            Err(NoServer::Unavailable) => {
                self.shared.unavailable.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }

    fn choose(&self, scan: &mut Scan, ask: &Ask<'_>, now: Micros) -> Result<Pick, NoServer> {
        let at_total = f64::from(scan.in_flight) >= scan.allowed.ceil().max(1.0);
        if at_total
            && scan
                .candidates
                .iter()
                .any(|c| c.rank > Rank::Trial && c.rank < Rank::Failed)
        {
            return Err(NoServer::AtLimit);
        }
        Self::demote_slow(&mut scan.candidates);
        self.limit_movement(&mut scan.candidates, now);
        scan.candidates
            .sort_unstable_by(|a, b| a.rank.cmp(&b.rank).then(a.cost_us.total_cmp(&b.cost_us)));
        for candidate in &scan.candidates {
            // Overload must not push requests to failed servers.
            if candidate.rank == Rank::Failed && scan.open {
                break;
            }
            let entry = &self.entries[candidate.index];
            if !entry.seen.reserve(candidate.limit) {
                scan.full = true;
                continue;
            }
            if candidate.trial && !Self::take_trial(entry, now) {
                entry.seen.release();
                continue;
            }
            let mut pick = Pick {
                spec: Arc::clone(&entry.spec),
                seen: Arc::clone(&entry.seen),
                place: Arc::clone(&entry.place),
                shared: Arc::clone(&self.shared),
                clock: self.clock,
                sent_at: now,
                trial: candidate.trial,
                ended: false,
                waits: false,
            };
            if ask.charge.is_some_and(|charge| !charge.charge(&entry.spec)) {
                scan.full = true;
                pick.abandon();
                continue;
            }
            // A mark that arrived during the scan still keeps the request away.
            if entry.seen.mark() != Mark::Serving {
                pick.abandon();
                continue;
            }
            entry.seen.on_sent(now);
            pick.waits = true;
            entry.place.picks.add(now);
            return Ok(pick);
        }
        Err(if scan.full {
            NoServer::AtLimit
        } else {
            NoServer::Unavailable
        })
    }

    fn scan(&self, ask: &Ask<'_>, rnd: u64, now: Micros) -> Scan {
        let mut scan = Scan::default();
        let prior_us = match self.shared.latency.mean_us() {
            0 => FIRST_LATENCY_US,
            mean => mean as f64,
        };
        for (index, entry) in self.entries.iter().enumerate() {
            let seen = &entry.seen;
            if ask.version.is_some_and(|v| *v != entry.spec.version)
                || ask.exclude.contains(&entry.spec.name)
                || seen.mark() != Mark::Serving
            {
                continue;
            }
            if seen.is_silent(seen.latency.expected_us(prior_us, now), now) && seen.breaker.close(now, Cause::Silence) {
                entry.place.breaker.on_failure(now, false);
            }
            let reported_at = seen.report_at.load(Ordering::Relaxed);
            let (ramp_draw, cost_draw) = two_draws(rnd ^ (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15));
            let gate = match (
                entry.place.breaker.gate(now, reported_at),
                seen.breaker.gate(now, reported_at),
            ) {
                (Gate::Closed, _) | (_, Gate::Closed) => Gate::Closed,
                (Gate::Trial, _) | (_, Gate::Trial) => Gate::Trial,
                (Gate::Open(place), Gate::Open(server)) => Gate::Open(place.min(server)),
            };
            let in_flight = seen.in_flight.load(Ordering::Relaxed);
            let mut add = |rank, cost_us, limit, trial| {
                scan.candidates.push(Candidate {
                    rank,
                    cost_us,
                    limit,
                    trial,
                    index,
                });
            };
            match gate {
                Gate::Open(ramp) => {
                    scan.open = true;
                    scan.allowed += f64::from(entry.spec.slots) * ask.share.all.clamp(0.0, 1.0) * TOTAL_QUEUE * ramp;
                    scan.in_flight += in_flight;
                    let limit = entry.limit(&ask.share, ramp, prior_us, now);
                    if in_flight >= limit {
                        scan.full = true;
                        continue;
                    }
                    let forecast = entry.forecast(&ask.share, prior_us, cost_draw, now);
                    let rank = match entry.tier {
                        _ if ramp_draw >= ramp => Rank::Held,
                        _ if !forecast.room => Rank::Crowded,
                        Tier::Domain => Rank::Domain,
                        Tier::Region => Rank::Region,
                        Tier::Other => Rank::Other,
                    };
                    add(rank, forecast.cost_us, limit, false);
                }
                Gate::Trial if ask.idempotent => add(Rank::Trial, cost_draw, u32::MAX, true),
                Gate::Trial => add(Rank::Failed, cost_draw, u32::MAX, true),
                // With nothing else left, one request at a time may try a failed server before its wait is over; the
                // fault may have been this VM's own. A request that must not run twice is refused as not run instead.
                Gate::Closed if ask.idempotent && !seen.closing.load(Ordering::Relaxed) => {
                    add(Rank::Failed, 1.0 + cost_draw, 1, false);
                }
                Gate::Closed => {}
            }
        }
        scan
    }

    /// Ranks servers that are far slower than the best as crowded, even if they have a free slot.
    fn demote_slow(candidates: &mut [Candidate]) {
        let is_free = |c: &Candidate| c.rank > Rank::Trial && c.rank < Rank::Crowded;
        let best = candidates
            .iter()
            .filter(|c| is_free(c))
            .map(|c| c.cost_us)
            .fold(f64::INFINITY, f64::min);
        for candidate in candidates.iter_mut().filter(|c| is_free(c)) {
            if candidate.cost_us > best * SLOW_RATIO + SLOW_EXTRA_US {
                candidate.rank = Rank::Crowded;
            }
        }
    }

    /// Holds back domains that grow too fast while a nearer server could take the request as well.
    fn limit_movement(&self, candidates: &mut [Candidate], now: Micros) {
        let usable = |c: &&Candidate| c.rank > Rank::Trial && c.rank < Rank::Held;
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
                && candidate.rank < Rank::Held
                && !entry.place.may_grow(&self.shared.picks, now)
            {
                candidate.rank = Rank::Held;
            }
        }
    }

    fn take_trial(entry: &Entry, now: Micros) -> bool {
        let place = &entry.place.breaker;
        if place.is_closed() && !place.take_trial(now) {
            return false;
        }
        // The server's own breaker may be open while its domain's is closed.
        if entry.seen.breaker.is_closed() && !entry.seen.breaker.take_trial(now) {
            place.drop_trial();
            return false;
        }
        true
    }

    /// Records what the VM list or a planned drain says about a server; unknown names are ignored.
    pub fn mark(&self, name: &ServerName, mark: Mark, now: Instant) {
        if let Some(entry) = self.entry(name) {
            let before = entry.seen.set_mark(mark);
            if before == Mark::Gone && mark == Mark::Serving {
                entry.seen.breaker.start_ramp(self.clock.micros(now), COLD_RAMP_US);
            }
        }
    }

    /// Records a load report that was `reported_age` old when it arrived; unknown names are ignored.
    pub fn on_report(&self, name: &ServerName, report: &LoadReport, reported_age: Duration, now: Instant) {
        if let Some(entry) = self.entry(name) {
            let at = self.clock.micros(now).saturating_sub(micros(reported_age)).max(1);
            let seen = &entry.seen;
            if seen.report_at.fetch_max(at, Ordering::Relaxed) <= at {
                let own = seen.in_flight.load(Ordering::Relaxed);
                seen.report_others
                    .store(report.in_flight.saturating_sub(own), Ordering::Relaxed);
                seen.report_healthy.store(report.healthy, Ordering::Relaxed);
            }
        }
    }

    /// State of every server and domain, for the state dump; times are relative to the last pick.
    pub fn view(&self) -> PoolView {
        view::view(&self.home, &self.entries, &self.shared)
    }

    fn entry(&self, name: &ServerName) -> Option<&Entry> {
        self.entries.iter().find(|e| e.spec.name == *name)
    }
}

/// Two numbers from 0 to 1, mixed from one (the finaliser of `SplitMix64`).
fn two_draws(seed: u64) -> (f64, f64) {
    let mut z = (seed ^ (seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^= z >> 31;
    let unit = |bits: u32| f64::from(bits) / (f64::from(u32::MAX) + 1.0);
    (unit((z >> 32) as u32), unit(z as u32))
}
