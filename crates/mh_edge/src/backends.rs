use std::collections::HashMap;
use std::sync::Arc;

use hyper::StatusCode;
use mh_config::{CompiledServer, CompiledService};
use mh_route::{AnnouncedState, Home, Outcome, Pick, PickRequest, Pool, PoolView, RetryBudget, ServerSpec, Share};
use mh_types::{Code, DomainName, ServerName, VersionName};
use tokio::time::Instant;

use crate::connections::Connections;
use crate::version_gate::Versioned;

/// Idle connections kept to one backend server by one VM.
const MAX_IDLE: u32 = 64;

/// Retries allowed for each request of a service.
const RETRY_FRACTION: f64 = 0.1;
/// Retries a second that are allowed however few requests there are.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// The backend servers of one service with their connections.
#[derive(Debug)]
pub struct Backends {
    pool: Pool,
    connections: HashMap<ServerName, Arc<Connections>>,
    retries: Arc<RetryBudget>,
    version: Option<VersionName>,
}

/// What a request needs of its backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Need<'a> {
    pub(crate) version: Option<&'a VersionName>,
    pub(crate) versioned: Option<&'a Versioned>,
    pub(crate) tried: &'a [ServerName],
    pub(crate) idempotent: bool,
    pub(crate) share: Share,
}

/// A backend server chosen for one request; it counts as in flight until the answer has ended.
#[derive(Debug)]
pub struct Picked {
    pick: Option<Pick>,
    connections: Arc<Connections>,
    name: ServerName,
    sent_at: Instant,
    outcome: Outcome,
    versioned: Option<Versioned>,
}

impl Picked {
    /// Name of the server.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    pub(crate) fn connections(&self) -> &Arc<Connections> {
        &self.connections
    }

    /// Starts the time until the answer, which does not include connecting. The server may wait for the rest of a body
    /// that the caller still sends.
    pub(crate) fn sent(&mut self, body_is_whole: bool) {
        self.sent_at = Instant::now();
        if let Some(pick) = self.pick.as_mut().filter(|_| !body_is_whole) {
            pick.exempt_from_silence(self.sent_at);
        }
    }

    /// Notes the answer's head; it is recorded when the answer has ended.
    pub(crate) fn answered(&mut self, status: StatusCode, closes: bool) {
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

    /// Records that the request failed.
    pub(crate) fn failed(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Picked {
    fn observe(&self, versioned: &Versioned, domain: &DomainName) {
        match self.outcome {
            Outcome::Answered { status, latency } => versioned.observe(domain, status < 500, latency),
            Outcome::Cancelled => {}
            Outcome::Shed | Outcome::Closing | Outcome::Failed | Outcome::TimedOut => {
                versioned.observe(domain, false, self.sent_at.elapsed());
            }
        }
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            if let Some(versioned) = &self.versioned {
                self.observe(versioned, &pick.spec().domain);
            }
            pick.done(Instant::now(), self.outcome);
        }
    }
}

impl Backends {
    /// Prepares the servers of `service` for a VM at `home`; servers that `previous` knows keep their connections and
    /// observations.
    pub fn new(service: &CompiledService, home: &Home, previous: Option<&Self>, now: Instant) -> Self {
        let specs: Vec<ServerSpec> = service.servers.iter().map(|server| spec(server)).collect();
        let pool = match previous {
            Some(previous) => previous.pool.with_servers(&specs, now),
            None => Pool::new(home, &specs, now),
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
            let fresh = || Arc::new(Connections::new(server.addr, server.connections.min(MAX_IDLE) as usize));
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

    /// State of the servers, for the dump.
    pub fn view(&self) -> PoolView {
        self.pool.view()
    }

    /// Version that serves while no shift runs; `None` for any.
    pub(crate) fn version(&self) -> Option<&VersionName> {
        self.version.as_ref()
    }

    pub(crate) fn retries(&self) -> &RetryBudget {
        &self.retries
    }

    /// Chooses a server.
    pub(crate) fn pick(&self, need: Need<'_>) -> Result<Picked, Code> {
        let Need {
            version,
            versioned,
            tried,
            idempotent,
            share,
        } = need;
        let now = Instant::now();
        let ask = PickRequest {
            version: versioned.map(Versioned::version).or(version),
            exclude: tried,
            idempotent,
            share,
            charge: None,
        };
        let pick = self
            .pool
            .pick(now, &ask, rand::random())
            .map_err(mh_route::PickError::code)?;
        let name = pick.spec().name.clone();
        let connections = Arc::clone(self.connections.get(&name).ok_or(Code::NoServer)?);
        Ok(Picked {
            pick: Some(pick),
            connections,
            name,
            sent_at: now,
            outcome: Outcome::Cancelled,
            versioned: versioned.cloned(),
        })
    }
}

fn spec(server: &CompiledServer) -> ServerSpec {
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
