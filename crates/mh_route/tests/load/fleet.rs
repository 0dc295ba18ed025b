//! A fleet of many VMs, each of which sends few requests to each server, through the loss and cold return of servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mh_route::Outcome;
use mh_route::objects::{ObjectAsk, ObjectPool, Placed, Places, WorkTimes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::{Server, TARGET_MS, TIMEOUT_MS};

/// Requests of one play, 1,000 a second.
pub const REQUESTS: usize = 20_000;

const VMS: usize = 28;
const SERVERS: usize = 60;
const OBJECTS: u64 = 150;
const GAP_US: u64 = 1_000;

/// Time between two reports of each VM to the others.
const REPORT_EVERY_US: u64 = 400_000;

/// Servers that lose their objects at once, and when.
const LOST: usize = 15;
const LOST_AT_US: u64 = 6_000_000;

/// Plays the load; returns the requests that were answered within the latency target.
pub fn play(shares_reports: bool) -> usize {
    let start = Instant::now();
    let at = |us: u64| start + Duration::from_micros(us);
    let mut rng = StdRng::seed_from_u64(9);
    let listed = crate::servers(SERVERS);
    let pools: Vec<ObjectPool> = (0..VMS)
        .map(|_| ObjectPool::new(&listed, None, 0.0, VMS as u32, &Places::default(), start))
        .collect();
    let work: Vec<Arc<WorkTimes>> = (0..VMS)
        .map(|_| Arc::new(WorkTimes::new(Duration::from_millis(TARGET_MS))))
        .collect();
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut ends: BTreeMap<(u64, usize), (Placed, u64, usize)> = BTreeMap::new();
    let (mut in_time, mut next_report) = (0, REPORT_EVERY_US);
    for n in 0..REQUESTS {
        let now = n as u64 * GAP_US;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((done, _), (placed, sent, server)) = entry.remove_entry();
            let latency = Duration::from_micros(done - sent);
            placed.reported(at(done), servers[server].load(done) as u32);
            placed.done(at(done), Outcome::Answered { status: 200, latency });
        }
        if now == LOST_AT_US {
            servers.iter_mut().take(LOST).for_each(|server| server.held.clear());
        }
        if shares_reports && now >= next_report {
            next_report += REPORT_EVERY_US;
            exchange(&pools, at(now));
        }
        let vm = rng.random_range(0..VMS);
        let object = rng.random_range(0..OBJECTS);
        let ask = ObjectAsk::new(Some(object), Duration::from_millis(TIMEOUT_MS), &work[vm]);
        let Ok(placed) = pools[vm].place(at(now), &ask, rng.random()) else {
            continue;
        };
        let name = &placed.spec().name;
        let server = listed.iter().position(|server| server.spec.name == *name);
        let server = server.expect("the server is listed");
        if servers[server].load(now) > 16 {
            continue;
        }
        let done = servers[server].run(now, object);
        in_time += usize::from(done - now <= TARGET_MS * 1000);
        ends.insert((done, n), (placed, now, server));
    }
    in_time
}

/// Every VM tells the others what servers told it.
fn exchange(pools: &[ObjectPool], now: Instant) {
    for (from, pool) in pools.iter().enumerate() {
        let reports: Vec<_> = pool.take_reports().map(|(name, load)| (name.clone(), load)).collect();
        for other in pools
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != from)
            .map(|(_, pool)| pool)
        {
            for (name, load) in &reports {
                assert!(other.on_report(now, name, *load));
            }
        }
    }
}
