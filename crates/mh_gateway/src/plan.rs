mod caller_limits;
mod host_route;
mod plan_change;
mod plan_org;
mod plan_parts;
mod plan_service;
mod request_kind;
mod target;
mod unreadable_parts;
mod unused_duration;

use std::collections::HashMap;
use std::sync::Arc;

use arcstr::ArcStr;
use mh_config::KeyHash;
use mh_types::{OrgName, Revision, ServiceName};
use serde::{Deserialize, Serialize};

pub use caller_limits::CallerLimits;
pub use host_route::HostRoute;
pub use plan_change::PlanChange;
pub use plan_org::PlanOrg;
pub use plan_service::PlanService;
pub use request_kind::RequestKind;
pub use target::Target;
pub use unreadable_parts::UnreadableParts;
pub use unused_duration::UnusedDuration;

use plan_parts::PlanParts;

/// An immutable revision of routes, organisations and services.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "PlanParts", into = "PlanParts")]
pub struct Plan {
    /// Revision; it only increases.
    pub revision: Revision,
    /// Services by name.
    pub services: HashMap<ServiceName, PlanService>,
    /// Organisations by name.
    pub orgs: HashMap<OrgName, Arc<PlanOrg>>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Parts that could not be read, besides routes without targets.
    pub unreadable: UnreadableParts,
    hosts: HashMap<ArcStr, Vec<Arc<HostRoute>>>,
    keys: HashMap<KeyHash, Arc<PlanOrg>>,
}

impl Plan {
    /// Creates a plan from `routes`, `services`, and `orgs` with the hashes of their keys.
    pub fn new(
        revision: Revision,
        routes: Vec<HostRoute>,
        services: Vec<PlanService>,
        orgs: Vec<(PlanOrg, Vec<KeyHash>)>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<ArcStr, Vec<Arc<HostRoute>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut plan = Self {
            revision,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            limits,
            hosts,
            ..Self::default()
        };
        for (org, keys) in orgs {
            let org = Arc::new(org);
            plan.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&org))));
            plan.orgs.insert(org.name.clone(), org);
        }
        plan
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<HostRoute>> {
        self.hosts.values().flatten()
    }

    /// Returns whether callers need keys at all.
    pub fn has_keys(&self) -> bool {
        !self.orgs.is_empty() || self.unreadable.orgs || !self.unreadable.keys.is_empty()
    }

    /// Returns the holder of a key; `None` if the key is unknown or was withdrawn.
    pub fn org_of_key(&self, key: &str) -> Option<&Arc<PlanOrg>> {
        self.keys.get(&KeyHash::of(key))
    }
}
