//! Loads that servers reported, on their way to and from other VMs.

use mh_types::ServerName;
use tokio::time::Instant;

use super::ObjectPool;
use crate::objects::AgedLoad;

impl ObjectPool {
    /// Takes the loads that servers reported to this VM since the last call, to be sent to other VMs.
    ///
    /// In a large fleet, a VM sends too few requests to each server to learn the length of its queue by itself.
    pub fn take_reports(&self) -> impl Iterator<Item = (&ServerName, u32)> {
        let reports = self.servers.iter();
        reports.filter_map(|server| Some((&server.spec.name, server.stats.take_report()?)))
    }

    /// Takes the loads of servers that state their speed, reported to this VM since the last call, to be sent to other
    /// VMs.
    pub fn take_aged_loads(&self, now: Instant) -> impl Iterator<Item = (&ServerName, AgedLoad)> {
        let at = self.clock.micros(now);
        let servers = self.servers.iter();
        servers.filter_map(move |server| Some((&server.spec.name, server.stats.take_aged_load(at)?)))
    }

    /// Records the load that a server with a stated speed reported to another VM, unless a newer one is known; returns
    /// `false` if the server is not in the pool.
    pub fn on_aged_load(&self, now: Instant, name: &ServerName, load: AgedLoad) -> bool {
        let index = self.index_by_name.get(name);
        if let Some(index) = index {
            self.servers[*index].stats.on_aged_load(self.clock.micros(now), load);
        }
        index.is_some()
    }

    /// Records the load that a server reported to another VM; returns `false` if the server is not in the pool.
    pub fn on_report(&self, now: Instant, name: &ServerName, load: u32) -> bool {
        let index = self.index_by_name.get(name);
        if let Some(index) = index {
            self.servers[*index].stats.on_report(self.clock.micros(now), load);
        }
        index.is_some()
    }
}
