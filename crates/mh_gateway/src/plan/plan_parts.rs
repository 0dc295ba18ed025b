use std::collections::HashMap;

use mh_config::KeyHash;
use mh_types::{OrgName, Revision};
use serde::{Deserialize, Serialize};

use super::{CallerLimits, HostRoute, Plan, PlanOrg, PlanService, UnreadableParts};

/// Serialised form of a plan between VMs, without its indexes.
#[derive(Serialize, Deserialize)]
pub(super) struct PlanParts {
    pub(super) revision: Revision,
    pub(super) routes: Vec<HostRoute>,
    pub(super) services: Vec<PlanService>,
    pub(super) orgs: Vec<(PlanOrg, Vec<KeyHash>)>,
    pub(super) limits: CallerLimits,
    pub(super) unreadable: UnreadableParts,
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
        let mut keys: HashMap<&OrgName, Vec<KeyHash>> = HashMap::new();
        for (key, holder) in &plan.keys {
            keys.entry(&holder.name).or_default().push(*key);
        }
        // Sorted, so that a plan encodes alike on every VM.
        for keys in keys.values_mut() {
            keys.sort_unstable();
        }
        let orgs = plan.orgs.values().map(|org| {
            let keys = keys.remove(&org.name).unwrap_or_default();
            (PlanOrg::clone(org), keys)
        });
        let orgs = orgs.collect();
        Self {
            revision: plan.revision,
            routes: plan.routes().map(|route| HostRoute::clone(route)).collect(),
            services: plan.services.values().cloned().collect(),
            orgs,
            limits: plan.limits,
            unreadable: plan.unreadable,
        }
    }
}
