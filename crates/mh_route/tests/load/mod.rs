//! Simulation, without a network, of a busy service whose servers cache the objects that they handle.

pub mod fleet;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use mh_route::Outcome;
use mh_route::objects::{ObjectPool, ObjectRequest, Placement, RegionDistribution, WorkTimes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Requests of one simulation; a larger number only averages over more of them.
pub const REQUESTS: usize = 6000;

const SERVERS: usize = 12;
const SLOTS: usize = 3;
/// Objects in use; a server can cache about a third of them.
const OBJECTS: u64 = 100;
const CACHED_OBJECTS: usize = 34;
/// Work time without and with the object in the cache, in milliseconds. At 130 requests a second, 47 of 36 slots would
/// be busy without cached objects, and 14 with them.
const MISS_WORK_MS: u64 = 360;
const HIT_WORK_MS: u64 = 108;
const ARRIVAL_GAP_US: u64 = 7_700;
pub const TARGET_MS: u64 = 250;
pub const TIMEOUT_MS: u64 = 1_000;

/// Policy for the choice of a server.
#[derive(Clone, Copy)]
pub enum Policy {
    ByObject,
    /// By object, with the stable assignment.
    ByStableObject,
    Random,
    LeastBusy,
}

/// Server with a queue and a cache of the objects that it used last.
#[derive(Default)]
struct Server {
    free_at: [u64; SLOTS],
    pub cached: VecDeque<u64>,
    running: Vec<u64>,
}

impl Server {
    /// Runs a request that arrives at `now`, in microseconds; returns the time of its response.
    fn run(&mut self, now: u64, object: u64) -> u64 {
        let is_cached = self.cached.contains(&object);
        self.cached.retain(|cached| *cached != object);
        self.cached.push_back(object);
        if self.cached.len() > CACHED_OBJECTS {
            self.cached.pop_front();
        }
        let slot = self.free_at.iter_mut().min().expect("a server has slots");
        let work = if is_cached { HIT_WORK_MS } else { MISS_WORK_MS } * 1000;
        *slot = (*slot).max(now) + work;
        let done = *slot;
        self.running.push(done);
        done
    }

    fn load(&mut self, now: u64) -> usize {
        self.running.retain(|done| *done > now);
        self.running.len()
    }
}

/// Simulates the load; returns the number of requests that were answered within the latency target.
pub fn simulate(policy: Policy) -> usize {
    let start = Instant::now();
    let at = |us: u64| start + Duration::from_micros(us);
    let mut rng = StdRng::seed_from_u64(5);
    let listed = super::servers(SERVERS);
    let listed: Vec<_> = listed
        .into_iter()
        .map(|mut server| {
            server.spec.slots = SLOTS as u32;
            server
        })
        .collect();
    let mut pool = ObjectPool::new(&listed, None, 0.0, 1, &RegionDistribution::default(), start);
    if matches!(policy, Policy::ByStableObject) {
        pool = pool.with_stable_assignment(None);
    }
    let work_times = Arc::new(WorkTimes::new(
        Duration::from_millis(TARGET_MS / 2),
        Duration::from_millis(TARGET_MS * 3 / 2),
    ));
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut responses: BTreeMap<(u64, usize), (Placement, u64, usize)> = BTreeMap::new();
    let mut in_time = 0;
    for n in 0..REQUESTS {
        let now = n as u64 * ARRIVAL_GAP_US;
        while let Some(entry) = responses.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((done, _), (placement, sent, server)) = entry.remove_entry();
            let latency = Duration::from_micros(done - sent);
            placement.reported(at(done), servers[server].load(done) as u32);
            placement.done(at(done), Outcome::Answered { status: 200, latency });
        }
        let object = rng.random_range(0..OBJECTS);
        let chosen = match policy {
            Policy::Random => Some((rng.random_range(0..SERVERS), None)),
            Policy::LeastBusy => (0..SERVERS)
                .min_by_key(|s| servers[*s].load(now))
                .map(|server| (server, None)),
            Policy::ByObject | Policy::ByStableObject => {
                let request = ObjectRequest::new(Some(object), Duration::from_millis(TIMEOUT_MS), &work_times);
                pool.place(at(now), &request, rng.random()).ok().map(|placement| {
                    let name = &placement.spec().name;
                    let index = listed.iter().position(|server| server.spec.name == *name);
                    (index.expect("the server is listed"), Some(placement))
                })
            }
        };
        let Some((server, placement)) = chosen else { continue };
        // A server rejects requests that would wait longer than their callers do.
        if servers[server].load(now) > SLOTS * 4 {
            continue;
        }
        let done = servers[server].run(now, object);
        in_time += usize::from(done - now <= TARGET_MS * 1000);
        if let Some(placement) = placement {
            responses.insert((done, n), (placement, now, server));
        }
    }
    in_time
}
