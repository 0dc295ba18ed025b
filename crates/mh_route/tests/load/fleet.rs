//! Simulation of many VMs, each of which sends few requests to each server, while some servers lose their caches.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mh_route::Outcome;
use mh_route::objects::{ObjectPool, ObjectRequest, Placement, RegionDistribution, WorkTimes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::{Server, TARGET_MS, TIMEOUT_MS};

/// Requests of one simulation, 1,000 a second.
pub const REQUESTS: usize = 20_000;

const VMS: usize = 28;
const SERVERS: usize = 60;
const OBJECTS: u64 = 150;
const ARRIVAL_GAP_US: u64 = 1_000;

/// Time between two reports of each VM to the others.
const REPORT_EVERY_US: u64 = 400_000;

/// Number of servers that lose their cached objects, and the time of the loss.
const CACHE_LOSS_SERVERS: usize = 15;
const CACHE_LOSS_AT_US: u64 = 6_000_000;

/// Simulates the load; returns the number of requests that were answered within the latency target.
pub fn simulate(shares_reports: bool) -> usize {
    let start = Instant::now();
    let at = |us: u64| start + Duration::from_micros(us);
    let mut rng = StdRng::seed_from_u64(9);
    let listed = crate::servers(SERVERS);
    let pools: Vec<ObjectPool> = (0..VMS)
        .map(|_| ObjectPool::new(&listed, None, 0.0, VMS as u32, &RegionDistribution::default(), start))
        .collect();
    let work_times: Vec<Arc<WorkTimes>> = (0..VMS)
        .map(|_| {
            Arc::new(WorkTimes::new(
                Duration::from_millis(TARGET_MS / 2),
                Duration::from_millis(TARGET_MS * 3 / 2),
            ))
        })
        .collect();
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut responses: BTreeMap<(u64, usize), (Placement, u64, usize)> = BTreeMap::new();
    let (mut in_time, mut next_report) = (0, REPORT_EVERY_US);
    for n in 0..REQUESTS {
        let now = n as u64 * ARRIVAL_GAP_US;
        while let Some(entry) = responses.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((done, _), (placement, sent, server)) = entry.remove_entry();
            let latency = Duration::from_micros(done - sent);
            placement.reported(at(done), servers[server].load(done) as u32);
            placement.done(at(done), Outcome::Answered { status: 200, latency });
        }
        if now == CACHE_LOSS_AT_US {
            servers
                .iter_mut()
                .take(CACHE_LOSS_SERVERS)
                .for_each(|server| server.cached.clear());
        }
        if shares_reports && now >= next_report {
            next_report += REPORT_EVERY_US;
            exchange_reports(&pools, at(now));
        }
        let vm = rng.random_range(0..VMS);
        let object = rng.random_range(0..OBJECTS);
        let request = ObjectRequest::new(Some(object), Duration::from_millis(TIMEOUT_MS), &work_times[vm]);
        let Ok(placement) = pools[vm].place(at(now), &request, rng.random()) else {
            continue;
        };
        let name = &placement.spec().name;
        let server = listed.iter().position(|server| server.spec.name == *name);
        let server = server.expect("the server is listed");
        if servers[server].load(now) > 16 {
            continue;
        }
        let done = servers[server].run(now, object);
        in_time += usize::from(done - now <= TARGET_MS * 1000);
        responses.insert((done, n), (placement, now, server));
    }
    in_time
}

/// Sends the load reports that each VM received from servers to all other VMs.
fn exchange_reports(pools: &[ObjectPool], now: Instant) {
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
