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
    /// Whether it is cold.
    pub cold: bool,
    /// Whether failures keep requests away.
    pub closed: bool,
    /// Requests of this VM in flight.
    pub in_flight: u32,
    /// Requests of other VMs there, as last reported.
    pub others: f64,
    /// Part of recent answers that were errors.
    pub error_rate: f64,
    /// Observed time as a multiple of the expected one.
    pub slowness: f64,
}
