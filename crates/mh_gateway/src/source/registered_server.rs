use std::net::SocketAddr;
use std::time::Duration;

use mh_types::{DomainName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Entry of a backend server in the server registry, as the server wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredServer {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Version that it runs.
    pub version: VersionName,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Remaining time for which it is cold.
    pub cold_for: Duration,
    /// Start of its process; a restarted server with the same name is a new server.
    pub run: u64,
    /// Number of the entry within the server's run; a later entry has a higher one.
    pub sequence: u64,
}
