use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use mh_route::ServerSpec;
use mh_route::admission::{Admission, AdmissionRoute};
use mh_route::objects::assignment::MoveCounts;
use mh_route::objects::{ListedServer, RegionDistribution, WorkTimes};
use mh_types::{Event, RegionName, ServiceName, VersionName, emit};
use tokio::time::Instant;

use super::DeploymentState;
use super::service_versions::{ServiceVersions, VersionUse};
use crate::control::backend_inputs::BackendInputs;
use crate::{Feed, LiveState, Plan, RegisteredServer, ServiceBackends};

/// Builds the admission of each service that routes of different priority use; measurements are kept if its routes are the
/// same as before.
fn build_admissions(
    plan: &Plan,
    previous: &HashMap<ServiceName, Arc<Admission>>,
    (vms, backends): (u32, &HashMap<ServiceName, Arc<ServiceBackends>>),
    now: Instant,
) -> HashMap<ServiceName, Arc<Admission>> {
    let mut routes: HashMap<&ServiceName, Vec<AdmissionRoute>> = HashMap::new();
    for route in plan.routes() {
        let services: BTreeSet<_> = route.targets.iter().map(|target| &target.service).collect();
        for service in services {
            routes.entry(service).or_default().push(AdmissionRoute {
                name: route.name.clone(),
                priority: route.priority,
            });
        }
    }
    let org_priorities: Vec<u32> = plan.orgs.values().map(|org| org.priority).collect();
    let admissions = routes.into_iter().filter_map(|(service, mut routes)| {
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        let built = Admission::new(routes, org_priorities.clone(), now)?;
        let kept = previous.get(service).filter(|kept| kept.has_same_levels(&built));
        let admission = kept.map_or_else(|| Arc::new(built), Arc::clone);
        admission.set_fleet(
            vms,
            backends
                .get(service)
                .map_or(0, |backends| backends.pool.accepting_servers()),
        );
        Some((service.clone(), admission))
    });
    admissions.collect()
}

/// Builds the backends of a service, and logs the objects that a change of the server list moved, if it moved any.
fn build_backends(inputs: &BackendInputs, previous: Option<&ServiceBackends>, now: Instant) -> ServiceBackends {
    let totals = |backends: &ServiceBackends| backends.pool.moves().map(MoveCounts::totals);
    let before = previous.and_then(totals).unwrap_or_default();
    let built = inputs.build(previous, now);
    let after = totals(&built).unwrap_or_default();
    if after.moved_ppm > before.moved_ppm {
        emit!(
            Event::ObjectsMoved,
            service = inputs.service.name,
            moved_ppm = after.moved_ppm - before.moved_ppm,
            minimum_ppm = after.minimum_ppm - before.minimum_ppm
        );
    }
    built
}

impl DeploymentState {
    /// Builds the state that requests use. `vms` is the number of VMs that share limits; connections and observations
    /// of `previous` are kept.
    pub fn build_live_state(&mut self, previous: &LiveState, vms: u32, now: Instant) -> LiveState {
        let Some(plan) = self.plan.clone() else {
            return LiveState::default();
        };
        let places = self.vms_by_region();
        let mut usable_servers = self.usable_servers_by_service(now);
        let mut built = HashMap::new();
        for service in plan.services.values() {
            let backend_inputs = BackendInputs {
                service: service.clone(),
                servers: usable_servers.remove(&service.name).unwrap_or_default(),
                places: RegionDistribution {
                    domain_fractions: self.domain_fractions.get(&service.name).cloned(),
                    ..places.clone()
                },
                bounds: self.bounds,
                vms,
                assignment: self.assignment,
            };
            let kept = previous.backends.get(&service.name);
            let same = self
                .built_inputs
                .remove(&service.name)
                .filter(|held| *held == backend_inputs);
            let backends = match (same, kept) {
                (Some(_), Some(kept)) => Arc::clone(kept),
                _ => Arc::new(build_backends(&backend_inputs, kept.map(Arc::as_ref), now)),
            };
            built.insert(service.name.clone(), (backend_inputs, backends));
        }
        let backends = built
            .iter()
            .map(|(name, (_, backends))| (name.clone(), Arc::clone(backends)));
        let backends: HashMap<_, _> = backends.collect();
        self.built_inputs = built
            .into_iter()
            .map(|(name, (backend_inputs, _))| (name, backend_inputs))
            .collect();
        let work_times = plan.routes().map(|route| {
            let kept = previous.work_times.get(&route.name).map(Arc::clone);
            let times = kept.unwrap_or_else(|| Arc::new(WorkTimes::default()));
            (route.name.clone(), times)
        });
        let work_times = work_times.collect();
        let has_read_all_feeds = Feed::ALL.iter().all(|feed| self.read_feeds.contains(feed));
        LiveState {
            admissions: build_admissions(&plan, &previous.admissions, (vms, &backends), now),
            backends,
            work_times,
            quotas: previous.quotas.clone(),
            shifts: self.shift_controller.active(&self.orders, &self.records),
            vms: previous.vms.clone(),
            ready: has_read_all_feeds,
            plan: Some(plan),
        }
    }

    fn vms_by_region(&self) -> RegionDistribution {
        let mut vms: BTreeMap<RegionName, u32> = BTreeMap::new();
        for vm in self.vms.values() {
            *vms.entry(vm.region.clone()).or_default() += 1;
        }
        RegionDistribution {
            local_region: Some(self.region.clone()),
            vms,
            domain_fractions: None,
        }
    }

    fn usable_servers_by_service(&self, now: Instant) -> HashMap<ServiceName, Vec<ListedServer>> {
        let usable_versions = self.usable_versions();
        let mut out: HashMap<ServiceName, Vec<ListedServer>> = HashMap::new();
        for (name, server) in &self.servers {
            let entry = &server.entry;
            let Some(region) = self.regions.get(&entry.domain) else {
                continue;
            };
            if !usable_versions
                .get(&entry.service)
                .is_some_and(|versions| versions.contains(&entry.version))
            {
                continue;
            }
            let is_drained = self.drained.contains(&entry.domain);
            let kept_percent = if is_drained {
                self.planned_drains.kept_percent(&entry.domain, now)
            } else {
                100
            };
            out.entry(entry.service.clone()).or_default().push(ListedServer {
                spec: ServerSpec {
                    name: name.clone(),
                    addr: entry.addr,
                    domain: entry.domain.clone(),
                    region: region.clone(),
                    version: entry.version.clone(),
                    slots: entry.slots,
                    connections: 0,
                },
                run: entry.run,
                leaving: entry.leaving || kept_percent == 0,
                kept_percent,
                cold_until: server.cold_until.filter(|until| *until > now),
            });
        }
        out
    }

    /// Returns the versions of each service whose servers may be used.
    fn usable_versions(&self) -> HashMap<&ServiceName, HashSet<&VersionName>> {
        let mut out: HashMap<&ServiceName, HashSet<&VersionName>> = HashMap::new();
        let mut reserve: HashMap<&ServiceName, HashSet<&VersionName>> = HashMap::new();
        let mut serving: HashSet<&ServiceName> = HashSet::new();
        for server in self.servers.values() {
            let RegisteredServer { service, version, .. } = &server.entry;
            let versions = self.versions.get(service);
            let decide = |versions: &ServiceVersions| {
                versions.decide(version, self.orders.get(service), self.records.get(service))
            };
            match versions.map_or(VersionUse::Reserve, decide) {
                VersionUse::Allowed => {
                    out.entry(service).or_default().insert(version);
                    if !server.entry.leaving {
                        serving.insert(service);
                    }
                }
                VersionUse::Exposed => drop(out.entry(service).or_default().insert(version)),
                VersionUse::Reserve => drop(reserve.entry(service).or_default().insert(version)),
                VersionUse::Denied => {}
            }
        }
        reserve.retain(|service, _| !serving.contains(service));
        for (service, versions) in reserve {
            out.entry(service).or_default().extend(versions);
        }
        out
    }
}
