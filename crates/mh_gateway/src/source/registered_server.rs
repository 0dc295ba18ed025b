use std::net::SocketAddr;
use std::time::Duration;

use mh_types::{DomainName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// A backend server as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredServer {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Version that it runs.
    pub version: VersionName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold_for: Duration,
    /// Start of its process; a restart under the same name is a new server.
    pub run: u64,
}
