mod compiled;

use std::collections::HashMap;
use std::sync::Arc;

use mh_types::{DomainName, OrgName, RegionName, Revision, ServiceName};

pub use compiled::{
    CompiledDrain, CompiledKey, CompiledOrg, CompiledRoute, CompiledServer, CompiledService, CompiledShift,
};

use crate::{Doc, KeyHash, RouteTable, Settings};

/// Immutable, compiled form of one revision of the settings for the request path.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Revision of the settings.
    pub revision: Revision,
    /// Routes by prefix.
    pub routes: RouteTable,
    /// Organisations by name.
    pub orgs: HashMap<OrgName, Arc<CompiledOrg>>,
    /// Keys by hash.
    pub keys: HashMap<KeyHash, CompiledKey>,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<CompiledService>>,
    /// Version shifts.
    pub shifts: Vec<Arc<CompiledShift>>,
    /// Regions of the failure domains.
    pub regions: HashMap<DomainName, RegionName>,
}

impl Snapshot {
    /// Compiles `settings` into a snapshot.
    pub fn compile(settings: &Settings) -> Self {
        let mut snapshot = Self {
            revision: settings.revision(),
            ..Self::default()
        };
        let mut routes = Vec::new();
        let mut drains = Vec::new();
        for (_, entry) in settings.iter() {
            if let Doc::Topology(topology) = &*entry.doc {
                snapshot.regions.extend(
                    topology
                        .domains
                        .iter()
                        .map(|d| (d.name.as_str().into(), d.region.as_str().into())),
                );
            }
        }
        for (path, entry) in settings.iter() {
            let name = path.qualified();
            let team = path.team().map_or_else(String::new, |t| t.to_string());
            match &*entry.doc {
                Doc::Service(doc) => {
                    let service = CompiledService::new(&name, doc, &snapshot.regions);
                    snapshot.services.insert(service.name.clone(), Arc::new(service));
                }
                Doc::Route(doc) => routes.push(Arc::new(CompiledRoute::new(&name, &team, entry.created, doc))),
                Doc::Organisation(doc) => {
                    let org = CompiledOrg::new(&name, doc);
                    snapshot.orgs.insert(org.name.clone(), Arc::new(org));
                }
                Doc::Key(doc) => {
                    snapshot.keys.insert(doc.hash, CompiledKey::new(&name, &team, doc));
                }
                Doc::Shift(doc) => snapshot
                    .shifts
                    .push(Arc::new(CompiledShift::new(&name, &team, entry, doc))),
                Doc::Drain(doc) => drains.push(CompiledDrain::new(&team, doc)),
                Doc::Topology(_) | Doc::Roster(_) => {}
            }
        }
        for drain in drains {
            if let Some(service) = snapshot.services.get_mut(&drain.service) {
                Arc::make_mut(service).mark_drained(&drain);
            }
        }
        snapshot.routes = RouteTable::new(routes);
        snapshot
    }

    /// The organisation that `key` was granted to; `None` when the key is unknown or was withdrawn.
    pub fn org_of_key(&self, key: &str) -> Option<&Arc<CompiledOrg>> {
        self.orgs.get(&self.keys.get(&KeyHash::of(key))?.org)
    }
}
