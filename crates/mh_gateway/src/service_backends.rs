use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mh_edge::ConnectionPool;
use mh_route::RetryBudget;
use mh_route::objects::{ListedServer, ObjectPool, RegionDistribution};
use mh_types::ServerName;
use tokio::time::Instant;

use crate::{Bounds, PlanService};

/// Idle connections kept to one server; a VM of a small fleet rarely has more requests at one server.
const MAX_IDLE: u32 = 8;

/// Part of the retry budget that VMs use, so that windows that see a service's requests shift stay within it.
const RETRY_PART: f64 = 0.8;

/// The backend servers of one service with their connections.
#[derive(Debug)]
pub struct ServiceBackends {
    /// Servers, for placing.
    pub pool: ObjectPool,
    /// Limit on repeats.
    pub retries: Arc<RetryBudget>,
    connections: HashMap<ServerName, Arc<ConnectionPool>>,
    vms: u32,
}

impl ServiceBackends {
    /// Prepares the servers `listed`; those that `previous` knows keep their connections and observations.
    pub fn new(
        service: &PlanService,
        listed: &[ListedServer],
        previous: Option<&Self>,
        vms: u32,
        places: &RegionDistribution,
        bounds: &Bounds,
        now: Instant,
    ) -> Self {
        let vms = vms.max(1);
        let kept = previous.map(|p| &p.pool);
        let pool = ObjectPool::new(listed, kept, service.cold_per_s, vms, places, now);
        let connections = listed.iter().map(|listed| {
            let kept = previous
                .and_then(|p| p.connections.get(&listed.spec.name))
                .filter(|c| c.addr() == listed.spec.addr);
            let max_idle = (service.max_connections / vms).clamp(1, MAX_IDLE) as usize;
            let fresh = || Arc::new(ConnectionPool::new(listed.spec.addr, max_idle));
            (listed.spec.name.clone(), kept.map_or_else(fresh, Arc::clone))
        });
        let retries = match previous {
            Some(previous) if previous.vms == vms => Arc::clone(&previous.retries),
            _ => Arc::new(retry_budget(bounds, vms, now)),
        };
        Self {
            pool,
            retries,
            connections: connections.collect(),
            vms,
        }
    }

    /// Connections to a server.
    pub fn connections(&self, server: &ServerName) -> Option<&Arc<ConnectionPool>> {
        self.connections.get(server)
    }
}

/// This VM's part of the fleet's budget of repeats for one service.
///
/// A part of the VM's own requests needs no exchange with other VMs, as the parts add up to the part of all requests.
/// The slack is divided by the number of VMs, one half saved up and the other half spread over the window.
fn retry_budget(bounds: &Bounds, vms: u32, now: Instant) -> RetryBudget {
    let slack = bounds.retry_slack * RETRY_PART / f64::from(vms) / 2.0;
    let window = bounds.retry_window.max(Duration::from_secs(1)).as_secs_f64();
    RetryBudget::with_saved(bounds.retry_ratio * RETRY_PART, slack / window, slack, now)
}
