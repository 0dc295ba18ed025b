use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mh_edge::{ConnectionPool, Dial};
use mh_route::RetryBudget;
use mh_route::objects::{DemandMeter, ListedServer, ObjectPool, RegionDistribution};
use mh_types::ServerName;
use tokio::time::Instant;

use crate::{Bounds, PlanService};

/// Maximum number of idle connections per server; a VM of a small fleet rarely has more concurrent requests to one
/// server.
const MAX_IDLE_CONNECTIONS: u32 = 8;

/// Fraction of the retry budget that VMs use, so that windows in which a service's requests move between VMs stay
/// within the budget.
const RETRY_FRACTION: f64 = 0.8;

/// The backend servers of one service with their connections.
#[derive(Debug)]
pub struct ServiceBackends {
    /// Pool that requests are placed on.
    pub pool: ObjectPool,
    /// Retry budget of the service.
    pub retries: Arc<RetryBudget>,
    /// Measured demand of this VM's callers for the service.
    pub demand: Arc<DemandMeter>,
    connections: HashMap<ServerName, Arc<ConnectionPool>>,
    vms: u32,
}

impl ServiceBackends {
    /// Builds the backends from the servers in `listed`; servers that are also in `previous` keep their connections
    /// and statistics.
    pub fn new(
        service: &PlanService,
        listed: &[ListedServer],
        previous: Option<&Self>,
        vms: u32,
        distribution: &RegionDistribution,
        bounds: &Bounds,
        now: Instant,
    ) -> Self {
        let vms = vms.max(1);
        let reused = previous.map(|p| &p.pool);
        let pool = ObjectPool::new(listed, reused, service.cold_per_s, vms, distribution, now);
        let connections = listed.iter().map(|listed| {
            let reused = previous
                .and_then(|p| p.connections.get(&listed.spec.name))
                .filter(|c| c.addr() == listed.spec.addr);
            let max_idle = (service.max_connections / vms).clamp(1, MAX_IDLE_CONNECTIONS) as usize;
            let new_connections = || {
                let server = listed.spec.name.clone();
                Arc::new(ConnectionPool::new(server, listed.spec.addr, max_idle))
            };
            (
                listed.spec.name.clone(),
                reused.map_or_else(new_connections, Arc::clone),
            )
        });
        let retries = match previous {
            Some(previous) if previous.vms == vms => Arc::clone(&previous.retries),
            _ => Arc::new(retry_budget(bounds, vms, now)),
        };
        Self {
            pool,
            retries,
            demand: previous.map(|p| Arc::clone(&p.demand)).unwrap_or_default(),
            connections: connections.collect(),
            vms,
        }
    }

    /// Assigns objects to servers by the stable assignment; see [`ObjectPool::with_stable_assignment`].
    #[must_use]
    pub fn with_stable_assignment(mut self, previous: Option<&Self>) -> Self {
        self.pool = self
            .pool
            .with_stable_assignment(previous.map(|previous| &previous.pool));
        self
    }

    /// Returns the connections to a server.
    pub fn connections(&self, server: &ServerName) -> Option<&Arc<ConnectionPool>> {
        self.connections.get(server)
    }

    /// Closes the idle connections that `dial` does not reuse.
    pub fn close_unusable(&self, dial: &dyn Dial) {
        self.connections
            .values()
            .for_each(|connections| connections.close_unusable(dial));
    }
}

/// This VM's part of the fleet-wide retry budget of one service.
///
/// The fraction of the VM's own requests needs no coordination, since the fractions of all VMs add up to the fraction
/// of all requests. The slack is divided by the number of VMs; one half is available as a saved amount and the other
/// half accrues over the window.
fn retry_budget(bounds: &Bounds, vms: u32, now: Instant) -> RetryBudget {
    let slack = bounds.retry_slack * RETRY_FRACTION / f64::from(vms) / 2.0;
    let window = bounds.retry_window.max(Duration::from_secs(1)).as_secs_f64();
    RetryBudget::with_saved(bounds.retry_ratio * RETRY_FRACTION, slack / window, slack, now)
}
