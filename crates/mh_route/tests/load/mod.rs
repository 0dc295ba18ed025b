//! A busy service whose servers cache what they handle, played without a network.

pub mod fleet;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use mh_route::Outcome;
use mh_route::objects::{ObjectAsk, ObjectPool, Placed, Places, WorkTimes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Requests of one play; their number only sets how much it averages.
pub const REQUESTS: usize = 6000;

const SERVERS: usize = 12;
const SLOTS: usize = 3;
/// Objects in use; a server that handled all of them would hold a third.
const OBJECTS: u64 = 100;
const KEPT_OBJECTS: usize = 34;
/// Work without and with the object, in milliseconds. The requests of 130 a second need 47 busy slots of 36 without the
/// objects, and 14 with them.
const COLD_MS: u64 = 360;
const WARM_MS: u64 = 108;
const GAP_US: u64 = 7_700;
pub const TARGET_MS: u64 = 250;
pub const TIMEOUT_MS: u64 = 1_000;

/// How a server is chosen.
#[derive(Clone, Copy)]
pub enum Policy {
    ByObject,
    Random,
    LeastBusy,
}

/// A server with a queue, and the objects that it used last.
#[derive(Default)]
struct Server {
    free_at: [u64; SLOTS],
    pub held: VecDeque<u64>,
    running: Vec<u64>,
}

impl Server {
    /// Runs a request that arrives at `now`, in microseconds; returns when its answer is ready.
    fn run(&mut self, now: u64, object: u64) -> u64 {
        let warm = self.held.contains(&object);
        self.held.retain(|held| *held != object);
        self.held.push_back(object);
        if self.held.len() > KEPT_OBJECTS {
            self.held.pop_front();
        }
        let slot = self.free_at.iter_mut().min().expect("a server has slots");
        let work = if warm { WARM_MS } else { COLD_MS } * 1000;
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

/// Plays the load; returns the requests that were answered within the latency target.
pub fn play(policy: Policy) -> usize {
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
    let pool = ObjectPool::new(&listed, None, 0.0, 1, &Places::default(), start);
    let work = Arc::new(WorkTimes::new(Duration::from_millis(TARGET_MS)));
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut ends: BTreeMap<(u64, usize), (Placed, u64, usize)> = BTreeMap::new();
    let mut in_time = 0;
    for n in 0..REQUESTS {
        let now = n as u64 * GAP_US;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((done, _), (placed, sent, server)) = entry.remove_entry();
            let latency = Duration::from_micros(done - sent);
            placed.reported(at(done), servers[server].load(done) as u32);
            placed.done(at(done), Outcome::Answered { status: 200, latency });
        }
        let object = rng.random_range(0..OBJECTS);
        let chosen = match policy {
            Policy::Random => Some((rng.random_range(0..SERVERS), None)),
            Policy::LeastBusy => (0..SERVERS)
                .min_by_key(|s| servers[*s].load(now))
                .map(|server| (server, None)),
            Policy::ByObject => {
                let ask = ObjectAsk::new(Some(object), Duration::from_millis(TIMEOUT_MS), &work);
                pool.place(at(now), &ask, rng.random()).ok().map(|placed| {
                    let name = &placed.spec().name;
                    let index = listed.iter().position(|server| server.spec.name == *name);
                    (index.expect("the server is listed"), Some(placed))
                })
            }
        };
        let Some((server, placed)) = chosen else { continue };
        // A server rejects what would wait for longer than the caller does.
        if servers[server].load(now) > SLOTS * 4 {
            continue;
        }
        let done = servers[server].run(now, object);
        in_time += usize::from(done - now <= TARGET_MS * 1000);
        if let Some(placed) = placed {
            ends.insert((done, n), (placed, now, server));
        }
    }
    in_time
}
