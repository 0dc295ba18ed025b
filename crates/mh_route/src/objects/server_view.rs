use mh_types::{ServerName, VersionName};
use serde::Serialize;

/// State of one server of an [`ObjectPool`](super::ObjectPool), for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectServerView {
    /// Name of the server.
    pub name: ServerName,
    /// Version that it runs.
    pub version: VersionName,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Whether it is cold, that is, started recently.
    pub cold: bool,
    /// Whether it gets no requests because of failures (not the closed state of a circuit breaker).
    pub closed: bool,
    /// Requests of this VM in flight.
    pub in_flight: u32,
    /// Requests of other VMs there, as last reported.
    pub others: f64,
    /// Fraction of recent responses that were errors.
    pub error_rate: f64,
    /// Measured work time as a multiple of the expected one.
    pub slowness: f64,
    /// Newest load of a server that states its speed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stated: Option<StatedLoadView>,
}

/// Newest load of a server that states its speed, for the state dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StatedLoadView {
    /// Requests of other VMs there.
    pub others: u32,
    /// Duration of work in percent of the usual one; 0 if unknown.
    pub speed: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}
