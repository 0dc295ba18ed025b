use std::net::SocketAddr;

use mh_types::{DomainName, RegionName, ServerName, VersionName};
use serde::{Deserialize, Serialize};

/// Name, address, location and capacity of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Name, unique within the service.
    pub name: ServerName,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Failure domain that the server runs in.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Version that the server runs.
    pub version: VersionName,
    /// Requests that the server runs at a time; further ones wait at the server.
    pub slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
}
