use mh_route::objects::ObjectPool;
use mh_types::{ServerName, VmName};
use tokio::time::Instant;

use super::{Datagram, encode};
use crate::node::{GatewayNode, lock};

/// VMs that each report is sent to. It bounds what a VM sends and receives, whatever the size of its region.
const FAN_OUT: usize = 12;

/// Servers in one datagram at most, so that it fits one packet.
const MAX_SERVERS: usize = 48;

impl GatewayNode {
    /// Tells some VMs of the region, others each time, the loads that servers told this one.
    pub(crate) fn send_load_reports(&self, round: usize) {
        let live = self.gateway.live();
        let pools = live.backends.values().map(|backends| &backends.pool);
        let reports = pools.flat_map(ObjectPool::take_reports);
        let loads: Vec<(ServerName, u32)> = reports
            .map(|(server, load)| (server.clone(), load))
            .take(MAX_SERVERS)
            .collect();
        if loads.is_empty() {
            return;
        }
        let Ok(bytes) = encode(self.gateway.vm(), &Datagram::Loads(loads)) else {
            // Names and numbers always have an encoded form.
            return;
        };
        let peers = self.relay.peers();
        let from = (round * FAN_OUT) % peers.len().max(1);
        let chosen: Vec<&VmName> = peers.iter().cycle().skip(from).take(FAN_OUT.min(peers.len())).collect();
        let world = lock(&self.world);
        for vm in chosen {
            if let Some(addr) = world.vm(vm).map(|vm| vm.peers) {
                self.send_bytes(addr, &bytes);
            }
        }
    }

    /// Takes in the loads that servers told another VM.
    pub(crate) fn on_load_reports(&self, loads: &[(ServerName, u32)], now: Instant) {
        let live = self.gateway.live();
        for (server, load) in loads {
            let mut pools = live.backends.values().map(|backends| &backends.pool);
            // A server that this VM does not list yet has no queue that it could know of.
            let _ = pools.any(|pool| pool.on_report(now, server, *load));
        }
    }
}
