use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mh_types::{DomainName, RegionName};

/// Parameters of a look-up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// Region of the caller; `None` if the query doesn't state it.
    pub region: Option<RegionName>,
    /// Failure domain of the caller; `None` if the query doesn't state it.
    pub domain: Option<DomainName>,
}

/// Paths and formats of the look-ups and readiness checks of a deployment.
pub trait Interface: fmt::Debug + Send + Sync {
    /// Path of look-ups.
    fn lookup_path(&self) -> &'static str;
    /// Path of readiness checks.
    fn ready_path(&self) -> &'static str;
    /// Parses the query string of a look-up.
    fn lookup_query(&self, query: &str) -> LookupQuery;
    /// Returns the JSON body of a look-up's answer.
    fn lookup_answer(&self, vms: &[SocketAddr], lifetime: Duration) -> Bytes;
}
