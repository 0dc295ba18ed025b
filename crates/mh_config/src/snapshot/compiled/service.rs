use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mh_types::{DomainName, RegionName, ServerName, ServiceName, VersionName};

use super::CompiledDrain;
use crate::Service;

/// A service with its backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompiledService {
    /// Qualified name.
    pub name: ServiceName,
    /// Version that serves while no shift runs; `None` for any.
    pub version: Option<VersionName>,
    /// Backend servers.
    pub servers: Vec<Arc<CompiledServer>>,
}

/// A backend server with its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompiledServer {
    /// Name within the service.
    pub name: ServerName,
    /// IP address and port.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Region of the failure domain; the domain's own name when the topology does not list it.
    pub region: RegionName,
    /// Backend version.
    pub version: VersionName,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Connections that it accepts from all VMs together.
    pub connections: u32,
    /// Whether a planned drain covers it.
    pub drained: bool,
}

impl CompiledService {
    pub(crate) fn new(name: &str, doc: &Service, regions: &HashMap<DomainName, RegionName>) -> Self {
        let servers = doc.servers.iter().map(|server| {
            let domain = DomainName::from(server.domain.as_str());
            let region = regions
                .get(&domain)
                .cloned()
                .unwrap_or_else(|| server.domain.as_str().into());
            Arc::new(CompiledServer {
                name: server.name.as_str().into(),
                addr: server.addr,
                domain,
                region,
                version: server.version.as_str().into(),
                slots: server.slots,
                connections: server.connections,
                drained: false,
            })
        });
        Self {
            name: name.into(),
            version: doc.version.as_deref().map(Into::into),
            servers: servers.collect(),
        }
    }

    pub(crate) fn mark_drained(&mut self, drain: &CompiledDrain) {
        for server in &mut self.servers {
            let by_name = drain.server.as_deref() == Some(server.name.as_str());
            let by_domain = drain.domain.as_deref() == Some(server.domain.as_str());
            if by_name || by_domain {
                Arc::make_mut(server).drained = true;
            }
        }
    }
}
