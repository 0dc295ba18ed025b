use mh_types::ServiceName;
use serde::{Deserialize, Serialize};

/// A service as the plan describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanService {
    /// Name.
    pub name: ServiceName,
    /// Connections that one of its servers accepts from all VMs together.
    pub max_connections: u32,
    /// Requests a second that a cold server bears from all VMs together; zero for no limit.
    pub cold_per_s: f64,
}
