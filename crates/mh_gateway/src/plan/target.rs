use mh_types::ServiceName;
use serde::{Deserialize, Serialize};

/// A service that answers a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, in parts of the sum of all weights.
    pub weight: f64,
}
