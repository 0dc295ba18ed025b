use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use mh_types::RouteName;
use tokio::time::Instant;

use super::fleet::Fleet;
use super::level::Level;
use super::{AdmissionRequest, AdmissionRoute, AdmissionView, LevelIndex, LevelView, ServerQueue};
use crate::clock::{Clock, Micros};

/// Most different priorities of organisations; the least urgent ones beyond them count as the last.
const MAX_ORG_PRIORITIES: usize = 8;

/// Time after the last refusal for which servers count as short, in microseconds.
const SHORTAGE_US: Micros = 2_000_000;

/// Expected arrivals of callers from which it is more likely that one comes than that none does.
const LIKELY_ARRIVAL: f64 = std::f64::consts::LN_2;

/// Admission to one service.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    routes: Vec<AdmissionRoute>,
    org_priorities: Vec<u32>,
    route_priorities: Vec<u32>,
    /// By priority of organisations, then of routes.
    levels: Vec<Level>,
    /// VMs that admit requests to the service, and its servers.
    vms: AtomicU32,
    servers: AtomicU32,
    refused: AtomicU64,
    last_refused_at: AtomicU64,
    is_reported_short: AtomicBool,
}

impl Admission {
    /// Creates the admission of a service that `routes` use, with the priorities of all organisations; `None` if all routes
    /// have the same priority.
    pub fn new(routes: Vec<AdmissionRoute>, mut org_priorities: Vec<u32>, now: Instant) -> Option<Self> {
        let mut route_priorities: Vec<u32> = routes.iter().map(|route| route.priority).collect();
        route_priorities.sort_unstable();
        route_priorities.dedup();
        if route_priorities.len() < 2 {
            return None;
        }
        org_priorities.sort_unstable();
        org_priorities.dedup();
        org_priorities.truncate(MAX_ORG_PRIORITIES);
        if org_priorities.is_empty() {
            org_priorities.push(0);
        }
        let levels = org_priorities
            .iter()
            .flat_map(|org| route_priorities.iter().map(|route| Level::new((*org, *route))));
        Some(Self {
            clock: Clock::new(now),
            levels: levels.collect(),
            vms: AtomicU32::new(1),
            servers: AtomicU32::new(1),
            refused: AtomicU64::new(0),
            last_refused_at: AtomicU64::new(0),
            is_reported_short: AtomicBool::new(false),
            routes,
            org_priorities,
            route_priorities,
        })
    }

    /// Sets the number of VMs that admit requests to the service and of its servers.
    pub fn set_fleet(&self, vms: u32, servers: usize) {
        self.vms.store(vms.max(1), Ordering::Relaxed);
        self.servers.store((servers as u32).max(1), Ordering::Relaxed);
    }

    /// Whether this admission is the one that [`new`](Self::new) creates, so that its measurements can be kept.
    pub fn has_same_levels(&self, other: &Self) -> bool {
        self.routes == other.routes && self.org_priorities == other.org_priorities
    }

    /// Urgency of the requests of a route by organisations of a priority.
    pub fn level(&self, route: &RouteName, org_priority: u32) -> Option<LevelIndex> {
        let route = self.routes.iter().find(|known| known.name == *route)?;
        let route = self
            .route_priorities
            .iter()
            .position(|known| *known == route.priority)?;
        let org = self.org_priorities.iter().rposition(|known| *known <= org_priority);
        Some(LevelIndex(
            org.unwrap_or_default() * self.route_priorities.len() + route,
        ))
    }

    /// Decides about a request that was placed at a server.
    ///
    /// # Errors
    ///
    /// [`GivesWay`] if the request is refused, since more urgent callers that come to the server after it could not be
    /// answered in time.
    pub fn judge(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        queue: &ServerQueue,
        rnd: u64,
    ) -> Result<(), GivesWay> {
        let at = self.clock.micros(now);
        let level = self.at(request.level);
        level.record(at, &request.time);
        level.record_delay(queue.delay);
        let excess = self.excess(at, request, queue);
        let Some(excess) = excess.filter(|_| !level.try_exception(at, self.exception_gap(request))) else {
            level.admitted.record(at);
            return Ok(());
        };
        self.on_refused(at);
        Err(GivesWay {
            retry_after: self.book_return(at, request, excess, rnd),
        })
    }

    /// Records that no server takes the request, or that each would answer too late, and that there is room for it after
    /// `room_in` if it comes again. Returns the time after which to return; `None` if its caller cannot be answered in time.
    pub fn on_not_placed(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        room_in: Option<Duration>,
        rnd: u64,
    ) -> Option<Duration> {
        let at = self.clock.micros(now);
        self.at(request.level).record(at, &request.time);
        self.on_refused(at);
        room_in.and_then(|room_in| self.book_return(at, request, room_in, rnd))
    }

    /// Requests refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether requests were refused in the last seconds because servers are short.
    pub fn is_short(&self, now: Instant) -> bool {
        let last_at = self.last_refused_at.load(Ordering::Relaxed);
        last_at > 0 && self.clock.micros(now).saturating_sub(last_at) <= SHORTAGE_US
    }

    /// Returns whether a shortage began or ended since the last call.
    pub fn shortage_change(&self, now: Instant) -> Option<bool> {
        let is_short = self.is_short(now);
        let was_short = self.is_reported_short.swap(is_short, Ordering::Relaxed);
        (is_short != was_short).then_some(is_short)
    }

    /// State, for the state dump.
    pub fn view(&self, now: Instant) -> AdmissionView {
        let at = self.clock.micros(now);
        let levels = self.levels.iter().map(|level| {
            let routes = self.routes.iter().filter(|route| route.priority == level.urgency.1);
            LevelView {
                org_priority: level.urgency.0,
                priority: level.urgency.1,
                routes: routes.map(|route| route.name.clone()).collect(),
                bearable_wait_ms: level.bearable_wait().as_millis() as u64,
                requests_per_s: level.requests.per_s(at),
                admitted_per_s: level.admitted.per_s(at),
            }
        });
        AdmissionView {
            short: self.is_short(now),
            refused: self.refused(),
            levels: levels.collect(),
        }
    }

    fn at(&self, level: LevelIndex) -> &Level {
        &self.levels[level.0]
    }

    fn fleet(&self) -> Fleet {
        Fleet {
            vms: self.vms.load(Ordering::Relaxed),
            servers: self.servers.load(Ordering::Relaxed),
        }
    }

    /// Time after which the request would no longer make the queue at its server too long for more urgent callers; `None` if
    /// it does not now, or if probably none of them comes while it is there.
    fn excess(&self, at: Micros, request: &AdmissionRequest, queue: &ServerQueue) -> Option<Duration> {
        if queue.wait.is_zero() {
            return None;
        }
        let stay = (queue.wait + request.time.work).as_secs_f64();
        let mut limit = None;
        let mut arrivals = 0.0;
        let mut excess = Duration::ZERO;
        for (index, level) in self.levels[..request.level.0].iter().enumerate() {
            let per_s = level.arrivals_per_s(at, LevelIndex(index), queue, self.fleet());
            if per_s <= 0.0 {
                continue;
            }
            let longest_wait = level.longest_wait(limit);
            limit = Some(longest_wait);
            let too_long_by = (queue.wait + queue.delay).saturating_sub(longest_wait);
            let too_long_by = if queue.is_full_behind {
                too_long_by.max(queue.delay)
            } else {
                too_long_by
            };
            if !too_long_by.is_zero() {
                arrivals += per_s * stay;
                excess = excess.max(too_long_by);
            }
        }
        (arrivals >= LIKELY_ARRIVAL).then_some(excess)
    }

    /// Time between two exceptions of a level on this VM. Over all VMs, each server gets one within the time that such a
    /// caller has, so that no level starves, whatever comes before it.
    fn exception_gap(&self, request: &AdmissionRequest) -> Duration {
        let fleet = self.fleet();
        request.time.remaining * fleet.vms / fleet.servers
    }

    fn book_return(&self, at: Micros, request: &AdmissionRequest, earliest: Duration, rnd: u64) -> Option<Duration> {
        let level = self.at(request.level);
        let per_s = level.admitted.per_s(at);
        level.returns.book(at, earliest, per_s, &request.time, rnd)
    }

    fn on_refused(&self, at: Micros) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        self.last_refused_at.fetch_max(at, Ordering::Relaxed);
    }
}

/// A request is refused for more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivesWay {
    /// Time after which its caller is expected to be admitted; `None` if not within the time that it has.
    pub retry_after: Option<Duration>,
}
