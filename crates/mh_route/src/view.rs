use std::sync::atomic::Ordering;

use mh_types::{DomainName, RegionName, ServerName, VersionName};
use serde::Serialize;

use crate::breaker::{Breaker, BreakerState};
use crate::clock::Micros;
use crate::server_entry::ServerEntry;
use crate::service_stats::ServiceStats;
use crate::{AnnouncedState, Tier, VmLocation};

/// State of a pool for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolView {
    /// Location of the VM.
    pub home: VmLocation,
    /// Requests refused because every usable server was at its limit.
    pub no_capacity: u64,
    /// Requests refused because no server was usable.
    pub unavailable: u64,
    /// Every server, in the order of the server list.
    pub servers: Vec<ServerView>,
    /// Every failure domain with a server.
    pub domains: Vec<DomainView>,
}

/// State of one server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerView {
    /// Name of the server.
    pub name: ServerName,
    /// Version that it runs.
    pub version: VersionName,
    /// Distance from the VM.
    pub tier: Tier,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Requests of this VM in flight.
    pub in_flight: u32,
    /// Limit of requests in flight learned from refusals of the server.
    pub learned_limit: Option<u32>,
    /// Mean measured latency, in microseconds; zero before the first response.
    pub latency_us: u64,
    /// Fraction of recent responses that were errors.
    pub error_rate: f64,
    /// Responses so far.
    pub answered: u64,
    /// Failures and time-outs so far.
    pub failed: u64,
    /// Refusals because of overload so far.
    pub shed: u64,
    /// Age of the last load report, in microseconds.
    pub report_age_us: Option<u64>,
}

/// State of one failure domain.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DomainView {
    /// Name of the domain.
    pub domain: DomainName,
    /// Region of the domain.
    pub region: RegionName,
    /// Whether it takes requests.
    pub state: ServerState,
}

/// Whether a server takes requests, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes requests.
    Serving,
    /// It takes a growing share of the requests after a start or a failure.
    Ramping,
    /// It is shutting down, according to the server list, a planned drain or its own notice.
    Leaving,
    /// It has stopped, according to the server list.
    Gone,
    /// It failed; single requests test from time to time whether it works again.
    Failed,
}

fn state_of(breaker: &Breaker, now: Micros) -> ServerState {
    match breaker.state(now, 0) {
        BreakerState::Passing(fraction) if fraction >= 1.0 => ServerState::Serving,
        BreakerState::Passing(_) => ServerState::Ramping,
        BreakerState::HalfOpen | BreakerState::Tripped => ServerState::Failed,
    }
}

pub(crate) fn view(location: &VmLocation, entries: &[ServerEntry], service_stats: &ServiceStats) -> PoolView {
    let now = service_stats.last_pick.load(Ordering::Relaxed);
    let server = |entry: &ServerEntry| {
        let stats = &entry.stats;
        let report_at = stats.report_at.load(Ordering::Relaxed);
        ServerView {
            name: entry.spec.name.clone(),
            version: entry.spec.version.clone(),
            tier: entry.tier,
            state: match stats.announced() {
                AnnouncedState::Leaving => ServerState::Leaving,
                AnnouncedState::Gone => ServerState::Gone,
                AnnouncedState::Serving if stats.closing.load(Ordering::Relaxed) => ServerState::Leaving,
                AnnouncedState::Serving => state_of(&stats.breaker, now),
            },
            in_flight: stats.in_flight.load(Ordering::Relaxed),
            learned_limit: stats.learned_limit(),
            latency_us: stats.latency.mean_us(),
            error_rate: stats.error_rate(),
            answered: stats.answered.load(Ordering::Relaxed),
            failed: stats.failed.load(Ordering::Relaxed),
            shed: stats.shed.load(Ordering::Relaxed),
            report_age_us: (report_at != 0).then(|| now.saturating_sub(report_at)),
        }
    };
    let mut domains: Vec<DomainView> = Vec::new();
    for entry in entries {
        if !domains
            .iter()
            .any(|d| d.domain == entry.domain_stats.domain && d.region == entry.domain_stats.region)
        {
            domains.push(DomainView {
                domain: entry.domain_stats.domain.clone(),
                region: entry.domain_stats.region.clone(),
                state: state_of(&entry.domain_stats.breaker, now),
            });
        }
    }
    PoolView {
        home: location.clone(),
        no_capacity: service_stats.no_capacity.load(Ordering::Relaxed),
        unavailable: service_stats.unavailable.load(Ordering::Relaxed),
        servers: entries.iter().map(server).collect(),
        domains,
    }
}
