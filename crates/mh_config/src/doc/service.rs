use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// A service and its backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Version that serves while no shift runs; any version when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Backend servers of the service.
    pub servers: Vec<Server>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name, unique within the service.
    pub name: String,
    /// IP address and port.
    pub addr: SocketAddr,
    /// Failure domain that the server runs in.
    pub domain: String,
    /// Backend version that the server runs.
    #[serde(default = "default_version")]
    pub version: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Connections that it accepts from all VMs together.
    pub connections: u32,
}

fn default_version() -> String {
    "v1".to_owned()
}

impl Service {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_unique("servers.name", self.servers.iter().map(|s| s.name.as_str()));
        for (i, server) in self.servers.iter().enumerate() {
            checker.check_name(&format!("servers[{i}].name"), &server.name);
            checker.check_name(&format!("servers[{i}].domain"), &server.domain);
            checker.check_name(&format!("servers[{i}].version"), &server.version);
            checker.check_range(&format!("servers[{i}].slots"), server.slots, 1, 100_000);
            checker.check_range(&format!("servers[{i}].connections"), server.connections, 1, 1_000_000);
        }
    }
}
