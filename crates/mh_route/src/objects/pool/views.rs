//! State of a pool, for metrics, the state dump and the measurement of demand.

use std::collections::BTreeMap;

use mh_types::DomainName;
use tokio::time::Instant;

use super::{MAX_SERVERS_PER_OBJECT, ObjectPool, Server, load};
use crate::objects::assignment::{MoveCounts, ObjectChoiceView, ObjectView};
use crate::objects::pool_assignment::PoolAssignment;
use crate::objects::{ObjectServerView, StatedLoadView};

impl ObjectPool {
    /// Moves of objects between servers; `None` without a stable assignment.
    pub fn moves(&self) -> Option<&MoveCounts> {
        self.assignment.as_ref().map(PoolAssignment::counts)
    }

    /// Servers of some recently requested objects, for the state dump; empty without a stable assignment.
    pub fn object_views(&self, now: Instant) -> Vec<ObjectView> {
        let at = self.clock.micros(now);
        let assignment = self.assignment.iter();
        let objects = assignment.flat_map(|assignment| assignment.recent().map(move |object| (assignment, object)));
        objects
            .map(|(assignment, object)| {
                let first = assignment.table().first(object, |_| true);
                let others = |index: usize| Some(index) != first;
                let others = assignment.table().servers(object, MAX_SERVERS_PER_OBJECT, others);
                let choice = |(index, reasons): (usize, [&'static str; 4])| {
                    let Server { spec, stats, .. } = &self.servers[index];
                    let [usable, cold, closed, full] = reasons;
                    let why = if !stats.accepts_requests(at) {
                        closed
                    } else if stats.cold_limiter.is_cold(at) {
                        cold
                    } else if stats.full_for(at) > 0 {
                        full
                    } else {
                        usable
                    };
                    ObjectChoiceView {
                        server: spec.name.clone(),
                        why,
                    }
                };
                let firsts = first.map(|index| (index, ["first", "first, cold", "first, closed", "first, full"]));
                let nexts = others
                    .into_iter()
                    .map(|index| (index, ["next", "next, cold", "next, closed", "next, full"]));
                ObjectView {
                    object: format!("{object:016x}"),
                    servers: firsts.into_iter().chain(nexts).map(choice).collect(),
                }
            })
            .collect()
    }

    /// Number of servers that stated a slow moment within the time for which a speed counts.
    pub fn slow_servers(&self, now: Instant) -> usize {
        let at = self.clock.micros(now);
        let factors = self.servers.iter().map(|server| server.stats.newest.speed_factor(at));
        factors.filter(|factor| *factor > 1.0).count()
    }

    /// Slots of the servers that take new requests, and fractions of the objects' first choices, by failure domain.
    pub fn capacity_by_domain(&self) -> (BTreeMap<DomainName, f64>, BTreeMap<DomainName, f64>) {
        let mut slots = BTreeMap::new();
        let mut fractions = BTreeMap::new();
        for server in self.servers.iter().filter(|server| !server.leaving) {
            *slots.entry(server.spec.domain.clone()).or_default() += f64::from(server.spec.slots);
            *fractions.entry(server.spec.domain.clone()).or_default() += server.object_weight;
        }
        let sum: f64 = fractions.values().sum();
        if sum > 0.0 {
            for fraction in fractions.values_mut() {
                *fraction /= sum;
            }
        }
        (slots, fractions)
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
                cold: server.stats.cold_limiter.is_cold(at),
                closed: !server.stats.accepts_requests(at),
                in_flight: load(&server.stats.in_flight),
                others: server.stats.others(at),
                error_rate: server.stats.error_rate(at),
                slowness: server.stats.slowness(at),
                stated: server.stats.newest.get().map(|entry| StatedLoadView {
                    others: entry.requests,
                    speed: entry.speed,
                    age_ms: entry.age_us(at) / 1000,
                }),
            })
            .collect()
    }
}
