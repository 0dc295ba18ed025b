use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};

use mh_config::KeyHash;
use mh_types::{OrgName, Revision, RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::plan_parts::PlanParts;
use super::{CallerLimits, HostRoute, Plan, PlanOrg, PlanService, UnreadableParts};

/// The difference between two plans.
///
/// Most changes concern one route or one organisation, and the whole plan of a large deployment does not fit a
/// datagram. The digest verifies that the result is the sender's plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanChange {
    /// Revision that the change is applied to.
    before: Revision,
    revision: Revision,
    routes: Vec<HostRoute>,
    dropped_routes: Vec<RouteName>,
    services: Vec<PlanService>,
    dropped_services: Vec<ServiceName>,
    orgs: Vec<(PlanOrg, Vec<KeyHash>)>,
    dropped_orgs: Vec<OrgName>,
    limits: CallerLimits,
    unreadable: UnreadableParts,
    digest: u64,
}

/// Returns the parts that are new or differ, and the names of those that were removed.
fn diff_parts<K: Clone + Eq + Hash, T: Clone + PartialEq>(
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &K,
) -> (Vec<T>, Vec<K>) {
    let held: HashMap<&K, &T> = before.iter().map(|part| (name(part), part)).collect();
    let named: HashMap<&K, &T> = after.iter().map(|part| (name(part), part)).collect();
    let set = after.iter().filter(|part| held.get(name(part)) != Some(part));
    let dropped = before.iter().filter(|part| !named.contains_key(name(part)));
    (set.cloned().collect(), dropped.map(|part| name(part).clone()).collect())
}

/// Returns `parts` with those in `set` added or replaced by name, and without `dropped`.
fn merge_parts<K: Eq + Hash, T: Clone>(parts: Vec<T>, set: &[T], dropped: &[K], name: impl Fn(&T) -> &K) -> Vec<T> {
    let replaced: HashSet<&K> = set.iter().map(&name).chain(dropped).collect();
    let is_kept = |part: &T| !replaced.contains(name(part));
    let mut out: Vec<T> = parts.into_iter().filter(is_kept).collect();
    out.extend(set.iter().cloned());
    out
}

fn has_duplicates<K: Eq + Hash, T>(parts: &[T], name: impl Fn(&T) -> &K) -> bool {
    let names: HashSet<&K> = parts.iter().map(name).collect();
    names.len() != parts.len()
}

impl PlanChange {
    /// Computes the difference between `before` and `after`; `None` if several routes of a plan have the same name.
    pub fn between(before: &Plan, after: &Plan) -> Option<Self> {
        let (old, new) = (PlanParts::from(before.clone()), PlanParts::from(after.clone()));
        if has_duplicates(&old.routes, |route| &route.name) || has_duplicates(&new.routes, |route| &route.name) {
            return None;
        }
        let (routes, dropped_routes) = diff_parts(&old.routes, &new.routes, |route| &route.name);
        let (services, dropped_services) = diff_parts(&old.services, &new.services, |service| &service.name);
        let (orgs, dropped_orgs) = diff_parts(&old.orgs, &new.orgs, |(org, _)| &org.name);
        Some(Self {
            before: before.revision,
            revision: after.revision,
            routes,
            dropped_routes,
            services,
            dropped_services,
            orgs,
            dropped_orgs,
            limits: new.limits,
            digest: digest(&new),
            unreadable: new.unreadable,
        })
    }

    /// Returns the revision of the plan after the change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the plan after the change; `None` if the change does not belong to `plan`.
    pub fn apply(&self, plan: &Plan) -> Option<Plan> {
        if plan.revision != self.before {
            return None;
        }
        let parts = PlanParts::from(plan.clone());
        let next = PlanParts {
            revision: self.revision,
            routes: merge_parts(parts.routes, &self.routes, &self.dropped_routes, |route| &route.name),
            services: merge_parts(parts.services, &self.services, &self.dropped_services, |s| &s.name),
            orgs: merge_parts(parts.orgs, &self.orgs, &self.dropped_orgs, |(org, _)| &org.name),
            limits: self.limits,
            unreadable: self.unreadable.clone(),
        };
        (digest(&next) == self.digest).then(|| Plan::from(next))
    }
}

/// Returns a digest of all parts that does not depend on their order.
fn digest(parts: &PlanParts) -> u64 {
    let sum = |hashes: &mut dyn Iterator<Item = u64>| hashes.fold(0_u64, u64::wrapping_add);
    sum(&mut parts.routes.iter().map(part_digest))
        .wrapping_add(sum(&mut parts.services.iter().map(part_digest)))
        .wrapping_add(sum(&mut parts.orgs.iter().map(part_digest)))
        .wrapping_add(part_digest(&(parts.revision, parts.limits, &parts.unreadable)))
}

fn part_digest<T: Serialize>(part: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    // Parts of a plan always encode.
    hasher.write(&postcard::to_stdvec(part).unwrap_or_default());
    hasher.finish()
}
