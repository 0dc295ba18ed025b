use mh_route::objects::ObjectPool;
use mh_types::{ServerName, VmName};
use tokio::time::Instant;

use super::{Datagram, encode};
use crate::node::{GatewayNode, lock};

/// VMs that each report is sent to. It bounds a VM's traffic regardless of the region's size.
const REPORT_FAN_OUT: usize = 12;

/// Most servers in one datagram, so that it fits one packet.
const MAX_REPORTED_SERVERS: usize = 48;

impl GatewayNode {
    /// Sends the loads that servers reported to this VM to a few VMs of the region, to different ones each round.
    pub(crate) fn send_load_reports(&self, round: usize) {
        let live = self.gateway.live();
        let pools = live.backends.values().map(|backends| &backends.pool);
        let reports = pools.flat_map(ObjectPool::take_reports);
        let loads: Vec<(ServerName, u32)> = reports
            .map(|(server, load)| (server.clone(), load))
            .take(MAX_REPORTED_SERVERS)
            .collect();
        if loads.is_empty() {
            return;
        }
        let Ok(bytes) = encode(self.gateway.vm(), &Datagram::Loads(loads)) else {
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
        let deployment = lock(&self.deployment);
        for vm in chosen {
            if let Some(addr) = deployment.vm(vm).map(|vm| vm.peers) {
                self.send_bytes(addr, &bytes);
            }
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
}
