use mh_types::ServiceName;
use serde::{Deserialize, Serialize};

/// A service that serves a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the sum of all weights of the route.
    pub weight: f64,
}
