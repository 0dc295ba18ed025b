use mh_route::objects::{AgedLoad, ObjectPool, ReportClocks};
use mh_types::{Incarnation, ServerName, VmName};
use tokio::time::Instant;

use super::datagram::{StatedLoad, StatedLoads};
use super::{Datagram, encode};
use crate::LiveState;
use crate::node::GatewayNode;

/// VMs that each report is sent to. It bounds a VM's traffic regardless of the region's size.
const REPORT_FAN_OUT: usize = 12;

/// Most servers in one datagram, so that it fits one packet.
const MAX_REPORTED_SERVERS: usize = 48;

/// Most servers with a stated speed in one datagram; each takes two bytes more.
const MAX_STATED_SERVERS: usize = 40;

impl GatewayNode {
    /// Sends the loads that servers reported to this VM to a few VMs of the region, to different ones each round.
    pub(crate) fn send_load_reports(&self, round: usize) {
        let live = self.gateway.live();
        self.send_stated_loads(round, &live, Instant::now());
        let pools = live.backends.values().map(|backends| &backends.pool);
        let reports = pools.flat_map(ObjectPool::take_reports);
        let loads: Vec<(ServerName, u32)> = reports
            .map(|(server, load)| (server.clone(), load))
            .take(MAX_REPORTED_SERVERS)
            .collect();
        if loads.is_empty() {
            return;
        }
        self.send_to_some(round, &Datagram::Loads(loads));
    }

    /// Sends the loads of servers that state their speed.
    fn send_stated_loads(&self, round: usize, live: &LiveState, now: Instant) {
        let pools = live.backends.values().map(|backends| &backends.pool);
        let loads = pools.flat_map(|pool| pool.take_aged_loads(now));
        let loads: Vec<StatedLoad> = loads
            .map(|(server, load)| StatedLoad {
                server: server.clone(),
                total: load.total,
                age_10ms: u32::try_from(load.age_ms / 10).unwrap_or(u32::MAX),
                speed_10: load.speed.unwrap_or_default().div_ceil(10),
            })
            .take(MAX_STATED_SERVERS)
            .collect();
        if loads.is_empty() {
            return;
        }
        let (run, sent_ms) = self.load_clocks.lock().own(now);
        self.send_to_some(round, &Datagram::StatedLoads(StatedLoads { run, sent_ms, loads }));
    }

    fn send_to_some(&self, round: usize, message: &Datagram) {
        let Ok(bytes) = encode(self.gateway.vm(), message) else {
            // Names and numbers always encode.
            return;
        };
        let peers = self.relay.peers();
        let from = (round * REPORT_FAN_OUT) % peers.len().max(1);
        let chosen: Vec<&VmName> = peers
            .iter()
            .cycle()
            .skip(from)
            .take(REPORT_FAN_OUT.min(peers.len()))
            .collect();
        for addr in self.listed_addrs(chosen) {
            self.send_bytes(addr, &bytes);
        }
    }

    /// Applies the loads that servers reported to another VM.
    pub(crate) fn on_load_reports(&self, loads: &[(ServerName, u32)], now: Instant) {
        let live = self.gateway.live();
        for (server, load) in loads {
            let mut pools = live.backends.values().map(|backends| &backends.pool);
            // A server that is not listed here yet has no queue to update.
            let _ = pools.any(|pool| pool.on_report(now, server, *load));
        }
    }

    /// Applies the loads that servers with a stated speed reported to the VM `from`.
    pub(crate) fn on_stated_loads(&self, from: &VmName, msg: &StatedLoads, now: Instant) {
        let Some(age) = self.load_clocks.lock().others.age(now, from, msg.run, msg.sent_ms) else {
            return;
        };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let live = self.gateway.live();
        for load in &msg.loads {
            let aged = AgedLoad {
                total: load.total,
                speed: load.speed_10.checked_mul(10).filter(|speed| *speed > 0),
                age_ms: age_ms.saturating_add(u64::from(load.age_10ms) * 10),
            };
            let mut pools = live.backends.values().map(|backends| &backends.pool);
            // A server that is not listed here yet has no queue to update.
            let _ = pools.any(|pool| pool.on_aged_load(now, &load.server, aged));
        }
    }
}

/// Clocks of load reports: this VM's own, and those of the VMs that it hears.
#[derive(Debug)]
pub(crate) struct LoadClocks {
    incarnation: Incarnation,
    started: Instant,
    others: ReportClocks,
}

impl LoadClocks {
    /// Creates the clocks of the process with this incarnation.
    pub(crate) fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            started: now,
            others: ReportClocks::new(now),
        }
    }

    /// Returns the incarnation and the milliseconds since the start.
    fn own(&self, now: Instant) -> (u64, u64) {
        let since_start = now.saturating_duration_since(self.started).as_millis();
        (self.incarnation.0, u64::try_from(since_start).unwrap_or(u64::MAX))
    }
}
