use mh_types::{DomainName, RegionName, ServerName};
use serde::{Deserialize, Serialize};

/// Backend server that a request is meant for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the server.
    pub server: ServerName,
    /// Start of its process.
    pub run: u64,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}
