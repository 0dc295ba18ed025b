use mh_types::ServiceName;
use serde::{Deserialize, Serialize};

/// A service of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanService {
    /// Name.
    pub name: ServiceName,
    /// Connections that one of its servers accepts from all VMs together.
    pub max_connections: u32,
    /// Requests per second that a cold server can handle from all VMs together; 0 for no limit.
    pub cold_per_s: f64,
}
