use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::rendezvous::{score, weight};
use super::track::Track;
use super::{Listed, ObjectAsk, ObjectServerView, Placed, Places, Refused};
use crate::ServerSpec;
use crate::clock::{Clock, Micros, micros};
use mh_types::ServerName;

/// Servers that hold an object at a time. A server keeps a few dozen objects; if a busy service spread each object over
/// all servers, none would hold any of them, and the service would answer several times slower just when it is full.
const MAX_SPREAD: usize = 2;

/// Weight of the time that a server without the object loses. It is more than the time itself, since the server drops
/// another object for it.
const WARMING_COST: f64 = 1.2;

/// Stands for the object of every packed request, so that all VMs fill servers in the same order.
const PACK_ORDER: u64 = 0;

/// Factor on the cost of a server whose answers are all errors, less one.
const ERROR_COST: f64 = 9.0;

/// Shortest wait that a refused caller is told.
const MIN_ROOM_IN: Duration = Duration::from_millis(50);

/// Wait until a cold server may take its first request, as a part of the gap between two.
const FIRST_COLD_PART: f64 = 1.0;

/// The servers of one service, for placing by object.
#[derive(Debug)]
pub struct ObjectPool {
    clock: Clock,
    servers: Vec<Server>,
    /// Places of the servers by name.
    places: HashMap<ServerName, usize>,
    /// Time between two requests of this VM to one cold server.
    cold_gap: Micros,
}

#[derive(Debug)]
struct Server {
    spec: Arc<ServerSpec>,
    run: u64,
    leaving: bool,
    /// Part of this VM's objects that the server is the first choice of.
    part: f64,
    track: Arc<Track>,
}

/// A server that may get a request.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    weight: u64,
    is_first: bool,
}

/// A server's forecast for one request, in microseconds.
#[derive(Clone, Copy)]
struct Forecast {
    index: usize,
    warm: bool,
    wait_us: u64,
    work_us: u64,
    finish_us: u64,
    cost: f64,
}

impl ObjectPool {
    /// A pool of the servers `listed`, which keeps what `previous` observed of those that stay.
    ///
    /// A cold server takes `cold_per_s` requests a second over all `vms`; zero means that cold servers are not limited.
    ///
    /// `places` says where this VM is and how the callers' requests are spread over regions.
    pub fn new(
        listed: &[Listed],
        previous: Option<&Self>,
        cold_per_s: f64,
        vms: u32,
        places: &Places,
        now: Instant,
    ) -> Self {
        let clock = previous.map_or_else(|| Clock::new(now), |previous| previous.clock);
        let at = clock.micros(now);
        let cold_gap = if cold_per_s > 0.0 {
            (f64::from(vms.max(1)) / cold_per_s * 1e6) as Micros
        } else {
            0
        };
        let open = listed.iter().filter(|listed| !listed.leaving);
        let parts = places.parts(open.map(|listed| (&listed.spec.region, listed.spec.slots)));
        let before: HashMap<&ServerName, &Server> = previous
            .into_iter()
            .flat_map(|pool| pool.servers.iter().map(|server| (&server.spec.name, server)))
            .collect();
        let servers = listed.iter().map(|listed| {
            let same = |s: &&&Server| s.spec.addr == listed.spec.addr && s.run == listed.run;
            let kept = before.get(&listed.spec.name).filter(same);
            let track = kept.map_or_else(|| Arc::new(Track::new()), |server| Arc::clone(&server.track));
            if let Some(until) = listed.cold_until {
                // The name spreads the first requests of VMs and servers that start together.
                let part = (weight(at, &listed.spec.name) % 1000) as f64 / 1000.0 * FIRST_COLD_PART;
                track
                    .cold
                    .start(at, clock.micros(until), (cold_gap as f64 * part) as Micros);
            }
            Server {
                spec: Arc::new(listed.spec.clone()),
                run: listed.run,
                leaving: listed.leaving,
                part: parts.get(&listed.spec.region).copied().unwrap_or_default() * f64::from(listed.spec.slots),
                track,
            }
        });
        let servers: Vec<Server> = servers.collect();
        let places = servers.iter().enumerate();
        let places = places.map(|(place, server)| (server.spec.name.clone(), place));
        Self {
            clock,
            places: places.collect(),
            servers,
            cold_gap,
        }
    }

    /// Chooses the server whose answer is predicted first and counts the request in flight there.
    ///
    /// # Errors
    ///
    /// [`Refused`] when no server may be used or none would answer within `ask.left`. The request has not run.
    pub fn place(&self, now: Instant, ask: &ObjectAsk<'_>, rnd: u64) -> Result<Placed, Refused> {
        let at = self.clock.micros(now);
        let object = ask.object.unwrap_or(rnd);
        let mut best: Option<Forecast> = None;
        let mut soonest: Option<u64> = None;
        let order = if ask.pack { PACK_ORDER } else { object };
        for candidate in self.candidates(order, ask, at) {
            let forecast = self.forecast(candidate, object, ask, at);
            if forecast.finish_us > micros(ask.left) {
                soonest = Some(soonest.map_or(forecast.finish_us, |s| s.min(forecast.finish_us)));
            } else if ask.pack && forecast.wait_us == 0 {
                best = Some(forecast);
                break;
            } else if !ask.pack && best.is_none_or(|best| forecast.cost < best.cost) {
                best = Some(forecast);
            }
        }
        let chosen = best.filter(|best| self.servers[best.index].track.cold.take(at, self.cold_gap));
        match (chosen, soonest) {
            (Some(forecast), _) => Ok(self.placed(&forecast, ask, at)),
            (None, None) if !self.has_cold(ask, at) => Err(Refused::Unavailable),
            (None, soonest) => {
                let excess = soonest.unwrap_or(0).saturating_sub(micros(ask.left));
                Err(Refused::Full {
                    room_in: Duration::from_micros(excess).max(MIN_ROOM_IN),
                })
            }
        }
    }

    fn placed(&self, forecast: &Forecast, ask: &ObjectAsk<'_>, at: Micros) -> Placed {
        let server = &self.servers[forecast.index];
        server.track.in_flight.fetch_add(1, Ordering::Relaxed);
        Placed {
            spec: Arc::clone(&server.spec),
            run: server.run,
            track: Arc::clone(&server.track),
            work: Arc::clone(ask.work),
            clock: self.clock,
            object: ask.object,
            warm: forecast.warm,
            cold: server.track.cold.is_cold(at),
            wait_us: forecast.wait_us,
            work_us: forecast.work_us,
        }
    }

    /// The servers that may get the request. One about an object goes to its first choice, which depends on the regions'
    /// room, or to the next in an order that does not, so that a region that is full spills to all others.
    fn candidates(&self, object: u64, ask: &ObjectAsk<'_>, at: Micros) -> SmallVec<[Candidate; 16]> {
        let mut out: SmallVec<[Candidate; 16]> = SmallVec::new();
        let mut first: Option<(f64, usize)> = None;
        for (index, server) in self.servers.iter().enumerate() {
            if server.leaving || !allows(server, ask) {
                continue;
            }
            let weight = weight(object, &server.spec.name);
            let score = score(weight, server.part);
            // Every VM of a region finds the same first choice, whatever it observed itself.
            if first.is_none_or(|(best, _)| score > best) {
                first = Some((score, index));
            }
            let is_tried = ask.exclude.contains(&server.spec.name);
            if !is_tried && server.track.is_open(at) && server.track.cold.has_room(at) {
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
        if ask.object.is_some() {
            out.sort_unstable_by_key(|candidate| std::cmp::Reverse((candidate.is_first, candidate.weight)));
            if !ask.pack {
                out.truncate(MAX_SPREAD);
            }
        }
        out
    }

    /// Whether a cold server that has no room now is all that keeps a request back.
    fn has_cold(&self, ask: &ObjectAsk<'_>, at: Micros) -> bool {
        let may_serve = |server: &&Server| !server.leaving && allows(server, ask) && server.track.is_open(at);
        self.servers
            .iter()
            .filter(may_serve)
            .any(|server| server.track.cold.is_cold(at))
    }

    fn forecast(&self, candidate: Candidate, object: u64, ask: &ObjectAsk<'_>, at: Micros) -> Forecast {
        let Candidate {
            index,
            is_first,
            weight,
        } = candidate;
        let server = &self.servers[index];
        let track = &server.track;
        // The first server of a packed order is no object's first choice.
        let is_choice = is_first && !ask.pack && !track.cold.is_cold(at);
        let holds = track.recent.holds(object, at) || is_choice;
        let warm = ask.object.is_some() && holds;
        let slowness = track.slowness(at);
        let work = ask.work.expected_us(warm) as f64 * slowness;
        let warm_work = ask.work.expected_us(true) as f64 * slowness;
        let slots = f64::from(server.spec.slots.max(1));
        let busy = f64::from(load(&track.in_flight)) + track.others(at);
        // Requests wait until one of the slots is free; each of those ahead takes its turn on one of them.
        let wait = (busy + 1.0 - slots).max(0.0) / slots * warm_work;
        let path = track.path_us() as f64;
        // The work is uncertain until a route was observed for a while; the wait is not. A request is refused only if
        // even a server that holds the object would answer too late.
        let finish = wait + warm_work / slowness.max(1.0) + path;
        let cost_work = warm_work + (work - warm_work) * WARMING_COST;
        // Ties between idle servers go by weight, so that VMs agree on the second choice as well.
        let tie = (weight >> 40) as f64 / f64::from(1 << 24);
        let cost =
            (wait + cost_work + path) * (1.0 + ERROR_COST * track.error_rate(at)) + (1.0 - tie) * 0.02 * warm_work;
        Forecast {
            index,
            warm,
            wait_us: wait as u64,
            work_us: work as u64,
            finish_us: finish as u64,
            cost,
        }
    }

    /// The loads that servers told this VM since the last call, to be told to other VMs.
    ///
    /// In a large fleet a VM sends few requests to each server and would know little of their queues by itself.
    pub fn take_reports(&self) -> impl Iterator<Item = (&ServerName, u32)> {
        let reports = self.servers.iter();
        reports.filter_map(|server| Some((&server.spec.name, server.track.take_report()?)))
    }

    /// Takes in the load that a server told another VM; `false` for a server that is not in the pool.
    pub fn on_report(&self, now: Instant, name: &ServerName, load: u32) -> bool {
        let place = self.places.get(name);
        if let Some(place) = place {
            self.servers[*place].track.on_report(self.clock.micros(now), load);
        }
        place.is_some()
    }

    /// Whether the pool has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Slots of the servers that take requests.
    pub fn slots(&self) -> u32 {
        let open = self.servers.iter().filter(|server| !server.leaving);
        open.map(|server| server.spec.slots).sum()
    }

    /// State of every server, for the state dump.
    pub fn view(&self, now: Instant) -> Vec<ObjectServerView> {
        let at = self.clock.micros(now);
        let servers = self.servers.iter();
        servers
            .map(|server| ObjectServerView {
                name: server.spec.name.clone(),
                version: server.spec.version.clone(),
                leaving: server.leaving,
                cold: server.track.cold.is_cold(at),
                closed: !server.track.is_open(at),
                in_flight: load(&server.track.in_flight),
                others: server.track.others(at),
                error_rate: server.track.error_rate(at),
                slowness: server.track.slowness(at),
            })
            .collect()
    }
}

fn load(counter: &AtomicU32) -> u32 {
    counter.load(Ordering::Relaxed)
}

fn allows(server: &Server, ask: &ObjectAsk<'_>) -> bool {
    (ask.regions.is_empty() || ask.regions.contains(&server.spec.region)) && ask.versions.allow(&server.spec.version)
}
