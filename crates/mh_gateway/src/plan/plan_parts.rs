use mh_config::KeyHash;
use mh_types::Revision;
use serde::{Deserialize, Serialize};

use super::{CallerLimits, HostRoute, Plan, PlanOrg, PlanService, Unreadable};

/// A plan as it is sent between VMs, without its indexes.
#[derive(Serialize, Deserialize)]
pub(super) struct PlanParts {
    revision: Revision,
    routes: Vec<HostRoute>,
    services: Vec<PlanService>,
    orgs: Vec<(PlanOrg, Vec<KeyHash>)>,
    limits: CallerLimits,
    unreadable: Unreadable,
}

impl From<PlanParts> for Plan {
    fn from(parts: PlanParts) -> Self {
        let mut plan = Self::new(parts.revision, parts.routes, parts.services, parts.orgs, parts.limits);
        plan.unreadable = parts.unreadable;
        plan
    }
}

impl From<Plan> for PlanParts {
    fn from(plan: Plan) -> Self {
        let keys_of = |org: &PlanOrg| {
            let keys = plan.keys.iter().filter(|(_, holder)| holder.name == org.name);
            keys.map(|(key, _)| *key).collect()
        };
        Self {
            revision: plan.revision,
            routes: plan.routes().map(|route| HostRoute::clone(route)).collect(),
            services: plan.services.values().cloned().collect(),
            orgs: plan
                .orgs
                .values()
                .map(|org| (PlanOrg::clone(org), keys_of(org)))
                .collect(),
            limits: plan.limits,
            unreadable: plan.unreadable,
        }
    }
}
