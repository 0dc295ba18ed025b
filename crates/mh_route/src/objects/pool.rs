mod assigned;
mod reports;
mod views;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::pool_assignment::{PoolAssignment, Share};
use super::rendezvous::{score, weight};
use super::server_stats::ObjectServerStats;
use super::{ListedServer, ObjectRequest, Placement, PlacementError, RegionDistribution};
use crate::ServerSpec;
use crate::clock::{Clock, Micros, micros};
use mh_types::ServerName;

/// Maximum of servers that an object is sent to. A server caches a few dozen objects; if a busy service spread each
/// object over all servers, none would hold it, and responses would be several times slower just when the service is at
/// its capacity.
const MAX_SERVERS_PER_OBJECT: usize = 2;

/// Requests that take longer if a server gets one for an object that it does not hold: this one, and the next one for the
/// object that the server evicts. While requests wait there, the extra work of both delays those too, and those that come
/// before the queue is empty.
const MISSES_PER_MISS: f64 = 2.0;

/// Object that determines the server order of packed requests, so that all VMs fill servers in the same order.
const PACKED_ORDER_OBJECT: u64 = 0;

/// Extra cost of a server whose responses are all errors, in multiples of its predicted time.
const ERROR_COST_FACTOR: f64 = 9.0;

/// Minimum of [`PlacementError::retry_after`].
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum delay of the first request to a cold server, as a fraction of the gap between two requests.
const MAX_FIRST_DELAY_FRACTION: f64 = 1.0;

/// Servers of one service, for placement by object.
#[derive(Debug)]
pub struct ObjectPool {
    clock: Clock,
    servers: Vec<Server>,
    /// Index in `servers` by server name.
    index_by_name: HashMap<ServerName, usize>,
    /// Time between two requests of this VM to one cold server.
    cold_gap: Micros,
    /// Present if the deployment uses the stable assignment instead of rendezvous hashing over all servers.
    assignment: Option<PoolAssignment>,
}

#[derive(Debug)]
struct Server {
    spec: Arc<ServerSpec>,
    run: u64,
    leaving: bool,
    kept_percent: u8,
    /// Relative weight of this server as the first choice of this VM's objects.
    object_weight: f64,
    stats: Arc<ObjectServerStats>,
}

/// A server that the request may be sent to.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    weight: u64,
    is_first: bool,
}

/// Prediction for one request at a server, in microseconds.
#[derive(Clone, Copy)]
struct Forecast {
    index: usize,
    holds_object: bool,
    wait_us: u64,
    work_us: u64,
    finish_us: u64,
    cost: f64,
}

impl ObjectPool {
    /// Creates a pool of the servers `listed` that shares the measurements of those that are in `previous` too.
    ///
    /// A cold server gets `cold_per_s` requests a second over all `vms`; zero means that cold servers are not limited.
    ///
    /// `distribution` holds the location of this VM and the distribution of the callers' requests over regions.
    pub fn new(
        listed: &[ListedServer],
        previous: Option<&Self>,
        cold_per_s: f64,
        vms: u32,
        distribution: &RegionDistribution,
        now: Instant,
    ) -> Self {
        let clock = previous.map_or_else(|| Clock::new(now), |previous| previous.clock);
        let at = clock.micros(now);
        let cold_gap = if cold_per_s > 0.0 {
            (f64::from(vms.max(1)) / cold_per_s * 1e6) as Micros
        } else {
            0
        };
        let accepting = listed.iter().filter(|listed| !listed.leaving);
        let accepting = accepting.map(|listed| (&listed.spec.domain, &listed.spec.region, listed.spec.slots));
        let slot_weights = distribution.slot_weights(accepting);
        let before: HashMap<&ServerName, &Server> = previous
            .into_iter()
            .flat_map(|pool| pool.servers.iter().map(|server| (&server.spec.name, server)))
            .collect();
        let servers = listed.iter().map(|listed| {
            let same = |s: &&&Server| s.spec.addr == listed.spec.addr && s.run == listed.run;
            let kept = before.get(&listed.spec.name).filter(same);
            let stats = kept.map_or_else(
                || Arc::new(ObjectServerStats::new()),
                |server| Arc::clone(&server.stats),
            );
            if let Some(until) = listed.cold_until {
                // The hash spreads the first requests of VMs and servers that start at the same time.
                let delay_fraction = (weight(at, &listed.spec.name) % 1000) as f64 / 1000.0 * MAX_FIRST_DELAY_FRACTION;
                stats
                    .cold_limiter
                    .start(at, clock.micros(until), (cold_gap as f64 * delay_fraction) as Micros);
            }
            Server {
                spec: Arc::new(listed.spec.clone()),
                run: listed.run,
                leaving: listed.leaving,
                kept_percent: listed.kept_percent,
                object_weight: slot_weights.get(&listed.spec.domain).copied().unwrap_or_default()
                    * f64::from(listed.spec.slots),
                stats,
            }
        });
        let servers: Vec<Server> = servers.collect();
        let indices = servers.iter().enumerate();
        let indices = indices.map(|(index, server)| (server.spec.name.clone(), index));
        Self {
            clock,
            index_by_name: indices.collect(),
            servers,
            cold_gap,
            assignment: None,
        }
    }

    /// Orders the servers of an object by a [stable assignment](super::assignment), which moves few objects when
    /// servers are added and removed. `previous` is the pool before the change, whose counts of moves are continued.
    #[must_use]
    pub fn with_stable_assignment(mut self, previous: Option<&Self>) -> Self {
        let shares: Vec<Share<'_>> = self
            .servers
            .iter()
            .map(|server| Share {
                name: &server.spec.name,
                slots: if server.leaving { 0 } else { server.spec.slots.max(1) },
                slot_weight: server.object_weight / f64::from(server.spec.slots.max(1)),
                kept: f64::from(server.kept_percent) / 100.0,
            })
            .collect();
        let previous = previous.and_then(|previous| previous.assignment.as_ref());
        self.assignment = Some(PoolAssignment::new(&shares, previous));
        self
    }

    /// Chooses the server with the earliest predicted response and counts the request in flight there.
    ///
    /// # Errors
    ///
    /// [`PlacementError`] if no server may be used or none would answer within `request.remaining`. The request has not run.
    pub fn place(&self, now: Instant, request: &ObjectRequest<'_>, rnd: u64) -> Result<Placement, PlacementError> {
        let at = self.clock.micros(now);
        let object = request.object.unwrap_or(rnd);
        let mut best: Option<Forecast> = None;
        let mut earliest_late_finish_us: Option<u64> = None;
        let order = if request.pack { PACKED_ORDER_OBJECT } else { object };
        for candidate in self.candidates(order, request, at) {
            let forecast = self.forecast(candidate, object, request, at);
            if let Some(level) = request.level {
                self.servers[candidate.index].stats.recent_callers.record(at, level);
            }
            if forecast.finish_us > micros(request.remaining) {
                earliest_late_finish_us = Some(
                    earliest_late_finish_us.map_or(forecast.finish_us, |earliest| earliest.min(forecast.finish_us)),
                );
            } else if request.pack && forecast.wait_us == 0 {
                best = Some(forecast);
                break;
            } else if !request.pack && best.is_none_or(|best| forecast.cost < best.cost) {
                best = Some(forecast);
            }
        }
        let chosen = best.filter(|best| self.servers[best.index].stats.cold_limiter.acquire(at, self.cold_gap));
        if let Some(forecast) = chosen {
            return Ok(self.placement(&forecast, request, at));
        }
        let cold_us = self.has_cold_server(request, at).then_some(0);
        if let Some(room_us) = cold_us.or_else(|| self.earliest_room_us(request, at)) {
            return Err(PlacementError::NoCapacity {
                retry_after: Duration::from_micros(room_us).max(MIN_RETRY_AFTER),
            });
        }
        let finish_us = earliest_late_finish_us.ok_or(PlacementError::Unavailable)?;
        Err(PlacementError::TooLate {
            by: Duration::from_micros(finish_us).saturating_sub(request.remaining),
        })
    }

    fn placement(&self, forecast: &Forecast, request: &ObjectRequest<'_>, at: Micros) -> Placement {
        let server = &self.servers[forecast.index];
        server.stats.in_flight.fetch_add(1, Ordering::Relaxed);
        Placement {
            spec: Arc::clone(&server.spec),
            run: server.run,
            stats: Arc::clone(&server.stats),
            work_times: Arc::clone(request.work_times),
            clock: self.clock,
            object: request.object,
            holds_object: forecast.holds_object,
            cold: server.stats.cold_limiter.is_cold(at),
            wait_us: forecast.wait_us,
            work_us: forecast.work_us,
            speed_at_start: server.stats.newest.known_speed(at.saturating_add(forecast.wait_us)),
            speed_at_answer: AtomicU32::new(0),
            load_at_answer: AtomicU32::new(0),
        }
    }

    /// Servers that the request may be sent to. A request for an object goes to its first choice, which depends on the
    /// capacity of the regions, or to the next server in an order that does not depend on it, so that a region at its
    /// capacity overflows to all others.
    fn candidates(&self, object: u64, request: &ObjectRequest<'_>, at: Micros) -> SmallVec<[Candidate; 16]> {
        if let Some(candidates) = self.assigned_candidates(request, at) {
            return candidates;
        }
        let mut out: SmallVec<[Candidate; 16]> = SmallVec::new();
        let mut first: Option<(f64, usize)> = None;
        for (index, server) in self.servers.iter().enumerate() {
            if server.leaving || !allows(server, request) {
                continue;
            }
            let weight = weight(object, &server.spec.name);
            let score = score(weight, server.object_weight);
            // The first choice ignores local measurements, so that all VMs of a region agree on it.
            if first.is_none_or(|(best, _)| score > best) {
                first = Some((score, index));
            }
            let is_tried = request.exclude.contains(&server.spec.name);
            let stats = &server.stats;
            let is_open = stats.accepts_requests(at) && stats.cold_limiter.allows_request(at);
            if !is_tried && is_open && stats.full_for(at) == 0 {
                out.push(Candidate {
                    index,
                    weight,
                    is_first: false,
                });
            }
        }
        let first = first.map(|(_, index)| index);
        for candidate in &mut out {
            candidate.is_first = Some(candidate.index) == first;
        }
        if request.object.is_some() {
            out.sort_unstable_by_key(|candidate| std::cmp::Reverse((candidate.is_first, candidate.weight)));
            if !request.pack {
                out.truncate(MAX_SERVERS_PER_OBJECT);
            }
        }
        out
    }

    /// Whether a cold server could serve the request later, once its rate limit allows it.
    fn has_cold_server(&self, request: &ObjectRequest<'_>, at: Micros) -> bool {
        let may_serve =
            |server: &&Server| !server.leaving && allows(server, request) && server.stats.accepts_requests(at);
        self.servers
            .iter()
            .filter(may_serve)
            .any(|server| server.stats.cold_limiter.is_cold(at))
    }

    /// Time until the first server whose own limit is used up admits a request; `None` without such a server.
    fn earliest_room_us(&self, request: &ObjectRequest<'_>, at: Micros) -> Option<Micros> {
        let may_serve =
            |server: &&Server| !server.leaving && allows(server, request) && server.stats.accepts_requests(at);
        let waits = self
            .servers
            .iter()
            .filter(may_serve)
            .map(|server| server.stats.full_for(at));
        waits.filter(|wait| *wait > 0).min()
    }

    fn forecast(&self, candidate: Candidate, object: u64, request: &ObjectRequest<'_>, at: Micros) -> Forecast {
        let Candidate {
            index,
            is_first,
            weight,
        } = candidate;
        let server = &self.servers[index];
        let stats = &server.stats;
        // The first server of the order for packed requests is not the first choice of the object.
        let is_first_choice = is_first && !request.pack && !stats.cold_limiter.is_cold(at);
        let holds = stats.recent_objects.holds(object, at) || is_first_choice;
        let holds_object = request.object.is_some() && holds;
        let slowness = stats.slowness(at);
        let speed = stats.newest.speed_factor(at);
        let work = request.work_times.expected_us(holds_object) as f64 * slowness;
        let work_with_object = request.work_times.expected_us(true) as f64 * slowness;
        let slots = f64::from(server.spec.slots.max(1));
        let in_flight = f64::from(load(&stats.in_flight)) + stats.others(at);
        // A request waits until the requests ahead of it leave a slot free.
        let waiting = (in_flight + 1.0 - slots).max(0.0);
        let wait = waiting / slots * work_with_object * speed;
        // The work begins after the wait, which may outlast a slow moment.
        let speed_at_start = stats.newest.speed_factor(at.saturating_add(wait as Micros));
        let work = work * speed_at_start;
        let round_trip = stats.round_trip_us() as f64;
        // Unlike the wait, the work time is uncertain until enough responses of the route were measured. A request is
        // therefore refused only if even a server that holds the object would answer too late.
        let proven_work = request.work_times.proven_us() as f64 * slowness.min(1.0);
        let finish = wait + proven_work + round_trip;
        let work_with_object_at_start = work_with_object * speed_at_start;
        let extra_work = work - work_with_object_at_start;
        let cost_work = work_with_object_at_start + extra_work * MISSES_PER_MISS * (1.0 + waiting);
        // The weight breaks ties between idle servers, so that VMs agree on the second choice as well.
        let tie = (weight >> 40) as f64 / f64::from(1 << 24);
        let cost = (wait + cost_work + round_trip) * (1.0 + ERROR_COST_FACTOR * stats.error_rate(at))
            + (1.0 - tie) * 0.02 * work_with_object;
        Forecast {
            index,
            holds_object,
            wait_us: wait as u64,
            work_us: work as u64,
            finish_us: finish as u64,
            cost,
        }
    }

    /// Forgets the failures of all servers, because their cause was this VM's own links.
    pub fn clear_failures(&self) {
        self.servers.iter().for_each(|server| server.stats.clear_failures());
    }

    /// Addresses of all servers.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.servers.iter().map(|server| server.spec.addr)
    }

    /// Whether the pool has a server of this name.
    pub fn contains(&self, name: &ServerName) -> bool {
        self.index_by_name.contains_key(name)
    }

    /// Whether the pool has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of servers that take new requests.
    pub fn accepting_servers(&self) -> usize {
        self.servers.iter().filter(|server| !server.leaving).count()
    }

    /// Number of slots of the servers that take new requests.
    pub fn slots(&self) -> u32 {
        let accepting = self.servers.iter().filter(|server| !server.leaving);
        accepting.map(|server| server.spec.slots).fold(0, u32::saturating_add)
    }
}

fn load(counter: &AtomicU32) -> u32 {
    counter.load(Ordering::Relaxed)
}

fn allows(server: &Server, request: &ObjectRequest<'_>) -> bool {
    (request.regions.is_empty() || request.regions.contains(&server.spec.region))
        && request.versions.allow(&server.spec.version)
}
