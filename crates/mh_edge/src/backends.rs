use std::collections::HashMap;
use std::sync::Arc;

use hyper::StatusCode;
use mh_config::{CompiledServer, CompiledService};
use mh_route::{
    AnnouncedState, Outcome, Pick, PickRequest, Pool, PoolView, RetryBudget, ServerSpec, SlotFractions, VmLocation,
};
use mh_types::{Code, DomainName, ServerName, VersionName};
use tokio::time::Instant;

use crate::connection_pool::ConnectionPool;
use crate::version_gate::VersionPick;

/// Maximum idle connections from one VM to one backend server.
const MAX_IDLE_CONNECTIONS: u32 = 64;

/// Retries of a service that are allowed per request, as a fraction.
const RETRY_FRACTION: f64 = 0.1;
/// Retries per second that are allowed regardless of the request rate.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Backend servers of one service and the connections to them.
#[derive(Debug)]
pub struct Backends {
    pool: Pool,
    connections: HashMap<ServerName, Arc<ConnectionPool>>,
    retries: Arc<RetryBudget>,
    version: Option<VersionName>,
}

/// Criteria for choosing the backend server of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerRequirements<'a> {
    pub(crate) version: Option<&'a VersionName>,
    pub(crate) version_pick: Option<&'a VersionPick>,
    pub(crate) tried: &'a [ServerName],
    pub(crate) idempotent: bool,
    pub(crate) share: SlotFractions,
}

/// A backend server chosen for one request, which counts as in flight until the response has ended.
///
/// The outcome is recorded on drop; a request that is dropped before its outcome is known counts as cancelled.
#[derive(Debug)]
pub struct PickedServer {
    pick: Option<Pick>,
    connections: Arc<ConnectionPool>,
    name: ServerName,
    sent_at: Instant,
    outcome: Outcome,
    version_pick: Option<VersionPick>,
}

impl PickedServer {
    /// Name of the server.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    pub(crate) fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Starts the latency measurement, which excludes connecting. While the caller is still sending the body, the
    /// request does not count towards the detection of silent servers, because the server may be waiting for the rest.
    pub(crate) fn mark_sent(&mut self, body_is_whole: bool) {
        self.sent_at = Instant::now();
        if let Some(pick) = self.pick.as_mut().filter(|_| !body_is_whole) {
            pick.exempt_from_silence(self.sent_at);
        }
    }

    /// Sets the outcome from the response head; it is recorded when the response has ended.
    pub(crate) fn record_response_head(&mut self, status: StatusCode, closes: bool) {
        if let Some(pick) = &mut self.pick {
            pick.exempt_from_silence(Instant::now());
        }
        self.outcome = if status == StatusCode::SERVICE_UNAVAILABLE {
            if closes { Outcome::Closing } else { Outcome::Shed }
        } else {
            Outcome::Answered {
                status: status.as_u16(),
                latency: self.sent_at.elapsed(),
            }
        };
    }

    /// Records `outcome` as the result of the request.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl PickedServer {
    fn observe(&self, version_pick: &VersionPick, domain: &DomainName) {
        match self.outcome {
            Outcome::Answered { status, latency } => version_pick.observe(domain, status < 500, latency),
            Outcome::Cancelled => {}
            Outcome::Shed | Outcome::Closing | Outcome::Failed | Outcome::TimedOut => {
                version_pick.observe(domain, false, self.sent_at.elapsed());
            }
        }
    }
}

impl Drop for PickedServer {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            if let Some(version_pick) = &self.version_pick {
                self.observe(version_pick, &pick.spec().domain);
            }
            pick.done(Instant::now(), self.outcome);
        }
    }
}

impl Backends {
    /// Creates the backends of `service` for a VM at `location`; servers that `previous` contains keep their
    /// connections and observations.
    pub fn new(service: &CompiledService, location: &VmLocation, previous: Option<&Self>, now: Instant) -> Self {
        let specs: Vec<ServerSpec> = service.servers.iter().map(|server| server_spec(server)).collect();
        let pool = match previous {
            Some(previous) => previous.pool.with_servers(&specs, now),
            None => Pool::new(location, &specs, now),
        };
        for server in &service.servers {
            pool.set_announced_state(
                &server.name,
                if server.drained {
                    AnnouncedState::Leaving
                } else {
                    AnnouncedState::Serving
                },
                now,
            );
        }
        let connections = service.servers.iter().map(|server| {
            let kept = previous
                .and_then(|p| p.connections.get(&server.name))
                .filter(|c| c.addr() == server.addr);
            let fresh = || {
                Arc::new(ConnectionPool::new(
                    server.name.clone(),
                    server.addr,
                    server.connections.min(MAX_IDLE_CONNECTIONS) as usize,
                ))
            };
            (server.name.clone(), kept.map_or_else(fresh, Arc::clone))
        });
        let budget = || Arc::new(RetryBudget::new(RETRY_FRACTION, MIN_RETRIES_PER_SECOND, now));
        let retries = previous.map_or_else(budget, |p| Arc::clone(&p.retries));
        Self {
            pool,
            connections: connections.collect(),
            retries,
            version: service.version.clone(),
        }
    }

    /// Returns the state of the servers for the diagnostic dump.
    pub fn view(&self) -> PoolView {
        self.pool.view()
    }

    /// Returns the version to use while no version shift runs; `None` for any.
    pub(crate) fn version(&self) -> Option<&VersionName> {
        self.version.as_ref()
    }

    pub(crate) fn retries(&self) -> &RetryBudget {
        &self.retries
    }

    /// Chooses a server.
    pub(crate) fn pick(&self, requirements: ServerRequirements<'_>) -> Result<PickedServer, Code> {
        let ServerRequirements {
            version,
            version_pick,
            tried,
            idempotent,
            share,
        } = requirements;
        let now = Instant::now();
        let request = PickRequest {
            version: version_pick.map(VersionPick::version).or(version),
            exclude: tried,
            idempotent,
            share,
            charge: None,
        };
        let pick = self
            .pool
            .pick(now, &request, rand::random())
            .map_err(mh_route::PickError::code)?;
        let name = pick.spec().name.clone();
        let connections = Arc::clone(self.connections.get(&name).ok_or(Code::NoServer)?);
        Ok(PickedServer {
            pick: Some(pick),
            connections,
            name,
            sent_at: now,
            outcome: Outcome::Cancelled,
            version_pick: version_pick.cloned(),
        })
    }
}

fn server_spec(server: &CompiledServer) -> ServerSpec {
    ServerSpec {
        name: server.name.clone(),
        addr: server.addr,
        domain: server.domain.clone(),
        region: server.region.clone(),
        version: server.version.clone(),
        slots: server.slots,
        connections: server.connections,
    }
}
