use std::time::Duration;

use mh_types::{DomainName, RouteName};

use crate::Side;

/// Result of one finished request, as observed by the VM that forwarded it.
#[derive(Clone, Debug)]
pub struct Sample<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Version that served it.
    pub side: Side,
    /// Failure domain of the backend server that served it.
    pub domain: &'a DomainName,
    /// Whether the response counts as a success.
    pub ok: bool,
    /// Time from forwarding the request to the end of the response or to the failure.
    pub latency: Duration,
}
