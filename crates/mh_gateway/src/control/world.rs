mod snapshot;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mh_route::ServerSpec;
use mh_route::objects::{Listed, Places, WorkTimes};
use mh_types::{DomainName, Event, RegionName, ServerName, ServiceName, VersionName, VmName, emit};
use tokio::time::Instant;

use super::known_server::KnownServer;
use super::made_of::MadeOf;
use super::shift_controller::ShiftController;
use crate::{AnnouncedVm, Batch, Bounds, Feed, Live, Plan, RegisteredServer, ShiftOrder, ShiftRecord, Update};

/// What this VM believes about the deployment, from the source.
#[derive(Debug)]
pub struct World {
    bounds: Bounds,
    /// Region of this VM.
    home: RegionName,
    regions: BTreeMap<DomainName, RegionName>,
    plan: Option<Arc<Plan>>,
    servers: BTreeMap<ServerName, KnownServer>,
    drained: HashSet<DomainName>,
    vms: BTreeMap<VmName, AnnouncedVm>,
    versions: HashMap<ServiceName, HashSet<VersionName>>,
    /// Feeds that were read at least once.
    read: HashSet<Feed>,
    /// Feeds whose changes are not told at present.
    lost: HashSet<Feed>,
    /// Until when a removed entry may return, after an outage of the source.
    entries_return_by: Option<Instant>,
    pub(super) orders: HashMap<ServiceName, ShiftOrder>,
    pub(super) records: HashMap<ServiceName, ShiftRecord>,
    pub(super) shift_controller: ShiftController,
    /// What the servers that requests use now were made of.
    built: HashMap<ServiceName, MadeOf>,
    /// When the last whole read of the list of VMs began.
    vms_read_at: Option<Instant>,
    /// The store's clock at a moment of this VM's.
    clock: Option<(Duration, Instant)>,
}

impl World {
    /// The world of a VM in the region `home`, of which only the regions of the failure domains are known.
    pub fn new(home: RegionName, regions: BTreeMap<DomainName, RegionName>, bounds: Bounds) -> Self {
        Self {
            bounds,
            home,
            regions,
            plan: None,
            servers: BTreeMap::new(),
            drained: HashSet::new(),
            vms: BTreeMap::new(),
            versions: HashMap::new(),
            read: HashSet::new(),
            lost: HashSet::new(),
            entries_return_by: None,
            orders: HashMap::new(),
            records: HashMap::new(),
            shift_controller: ShiftController::default(),
            built: HashMap::new(),
            vms_read_at: None,
            clock: None,
        }
    }

    /// Takes new promises and regions from the settings file.
    pub fn reload(&mut self, bounds: Bounds, regions: BTreeMap<DomainName, RegionName>) {
        self.bounds = bounds;
        self.regions = regions;
    }

    /// Takes what a read of `feed` told; `is_whole` for a read of everything, which also tells what is gone.
    pub fn apply(&mut self, feed: Feed, batch: &Batch, is_whole: bool, now: Instant) {
        self.clock = Some((batch.clock, now));
        if is_whole {
            self.drop_missing(feed, batch, now);
            if feed == Feed::Vms {
                self.vms_read_at = Some(now);
            }
        }
        self.read.insert(feed);
        for update in &batch.updates {
            self.update(update, now);
        }
    }

    /// Records that changes of `feed` are no longer told.
    pub fn on_feed_lost(&mut self, feed: Feed) {
        self.lost.insert(feed);
    }

    /// Records that changes of `feed` are told again. `down_until` is the latest time at which they were known not to
    /// be; entries of live servers may have lapsed if that took long.
    pub fn on_feed_back(&mut self, feed: Feed, down_until: Instant, was_long: bool) {
        self.lost.remove(&feed);
        if feed == Feed::Servers && was_long {
            self.entries_return_by = down_until.checked_add(self.bounds.entry_return);
        }
    }

    /// The store's clock now; `None` before the first read.
    pub fn store_clock(&self, now: Instant) -> Option<Duration> {
        let (clock, at) = self.clock?;
        Some(clock.saturating_add(now.saturating_duration_since(at)))
    }

    /// The VMs that are listed.
    pub fn vms(&self) -> impl Iterator<Item = &AnnouncedVm> {
        self.vms.values()
    }

    /// A listed VM.
    pub fn vm(&self, vm: &VmName) -> Option<&AnnouncedVm> {
        self.vms.get(vm)
    }

    /// When the list of VMs was last read as a whole; `None` before that.
    pub fn vms_read_at(&self) -> Option<Instant> {
        self.vms_read_at
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Whether the feed was read.
    pub fn has_read(&self, feed: Feed) -> bool {
        self.read.contains(&feed)
    }

    /// When something changes by the passing of time alone.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let servers = self.servers.values();
        let times = servers.flat_map(|server| [server.removed_at, Some(server.version_open_at)]);
        times.flatten().filter(|at| *at > now).min()
    }

    /// Drops the servers whose removal takes effect.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|name, server| {
            let gone = server.removed_at.is_some_and(|at| at <= now);
            if gone {
                emit!(Event::ServerUnlisted, server = name, after = "outage");
            }
            !gone
        });
    }

    /// The state for requests. `vms` are the VMs that share limits; `previous` keeps connections and observations.
    pub fn live(&mut self, previous: &Live, vms: u32, now: Instant) -> Live {
        let Some(plan) = self.plan.clone() else {
            return Live::default();
        };
        let places = self.places();
        let mut listed = self.listed(now);
        let mut built = HashMap::new();
        for service in plan.services.values() {
            let made_of = MadeOf {
                service: service.clone(),
                servers: listed.remove(&service.name).unwrap_or_default(),
                places: places.clone(),
                bounds: self.bounds,
                vms,
            };
            let kept = previous.backends.get(&service.name);
            let same = self.built.remove(&service.name).filter(|held| *held == made_of);
            let backends = match (same, kept) {
                (Some(_), Some(kept)) => Arc::clone(kept),
                _ => Arc::new(made_of.build(kept.map(Arc::as_ref), now)),
            };
            built.insert(service.name.clone(), (made_of, backends));
        }
        let backends = built
            .iter()
            .map(|(name, (_, backends))| (name.clone(), Arc::clone(backends)));
        let backends = backends.collect();
        self.built = built.into_iter().map(|(name, (made_of, _))| (name, made_of)).collect();
        let work = plan.routes().map(|route| {
            let kept = previous.work.get(&route.name).map(Arc::clone);
            let times = kept.unwrap_or_else(|| Arc::new(WorkTimes::new(route.latency_target)));
            (route.name.clone(), times)
        });
        let work = work.collect();
        let is_known = Feed::ALL.iter().all(|feed| self.read.contains(feed));
        Live {
            backends,
            work,
            quotas: previous.quotas.clone(),
            shifts: self.shift_controller.active(&self.orders, &self.records),
            vms: previous.vms.clone(),
            ready: is_known,
            plan: Some(plan),
        }
    }

    fn places(&self) -> Places {
        let mut vms: BTreeMap<RegionName, u32> = BTreeMap::new();
        for vm in self.vms.values() {
            *vms.entry(vm.region.clone()).or_default() += 1;
        }
        Places {
            home: Some(self.home.clone()),
            vms,
        }
    }

    fn listed(&self, now: Instant) -> HashMap<ServiceName, Vec<Listed>> {
        let mut out: HashMap<ServiceName, Vec<Listed>> = HashMap::new();
        for (name, server) in &self.servers {
            let entry = &server.entry;
            let Some(region) = self.regions.get(&entry.domain) else {
                continue;
            };
            if !self.is_version_open(server, now) {
                continue;
            }
            out.entry(entry.service.clone()).or_default().push(Listed {
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
                leaving: entry.leaving || self.drained.contains(&entry.domain),
                cold_until: server.cold_until.filter(|until| *until > now),
            });
        }
        out
    }

    /// Whether servers of this version may be used. A version that is new to its service waits for its order; without
    /// one it is used once the settings were told for a while, or when no other version is left.
    fn is_version_open(&self, server: &KnownServer, now: Instant) -> bool {
        let entry = &server.entry;
        let order = self.orders.get(&entry.service);
        let is_ordered = order.is_some_and(|order| order.to == entry.version);
        let is_told = !self.lost.contains(&Feed::Settings) && now >= server.version_open_at;
        let others_serve = || {
            let servers = self
                .servers
                .values()
                .filter(|other| other.entry.service == entry.service);
            servers
                .filter(|other| other.entry.version != entry.version)
                .any(|other| !other.entry.leaving && other.is_established)
        };
        server.is_established || is_ordered || is_told || !others_serve()
    }

    /// Removes what a whole read of `feed` does not name.
    fn drop_missing(&mut self, feed: Feed, batch: &Batch, now: Instant) {
        match feed {
            Feed::Settings => {
                self.drained.clear();
                self.orders.clear();
            }
            Feed::Shifts => self.records.clear(),
            Feed::Vms => self.vms.clear(),
            Feed::Servers => {
                let named: HashSet<&ServerName> = batch
                    .updates
                    .iter()
                    .filter_map(|update| match update {
                        Update::Server(name, Some(_)) => Some(name),
                        _ => None,
                    })
                    .collect();
                let missing: Vec<ServerName> = self
                    .servers
                    .keys()
                    .filter(|name| !named.contains(name))
                    .cloned()
                    .collect();
                for name in missing {
                    self.remove_server(&name, now);
                }
            }
        }
    }

    fn update(&mut self, update: &Update, now: Instant) {
        match update {
            Update::Plan(plan) => self.set_plan(plan),
            Update::Drained(domain, drained) => {
                let changed = if *drained {
                    self.drained.insert(domain.clone())
                } else {
                    self.drained.remove(domain)
                };
                if changed {
                    emit!(Event::DomainDrained, domain = domain, drained = drained);
                }
            }
            Update::Order(service, order) => {
                let to = order.as_ref().map_or("none", |order| order.to.as_str());
                emit!(Event::ShiftOrdered, service = service, to = to);
                match order {
                    Some(order) => drop(self.orders.insert(service.clone(), order.clone())),
                    None => drop(self.orders.remove(service)),
                }
            }
            Update::Server(name, Some(entry)) => self.set_server(name, entry, now),
            Update::Server(name, None) => self.remove_server(name, now),
            Update::Shift(service, record) => self.set_record(service, record.as_ref()),
            Update::Vm(name, Some(vm)) => {
                if self.vms.insert(name.clone(), vm.clone()).as_ref() != Some(vm) {
                    emit!(Event::VmListed, vm = name, domain = vm.domain, callers = vm.callers);
                }
            }
            Update::Vm(name, None) => {
                if self.vms.remove(name).is_some() {
                    emit!(Event::VmUnlisted, vm = name);
                }
            }
        }
    }

    fn set_plan(&mut self, plan: &Arc<Plan>) {
        // A revision never goes down, whatever an old copy of the store says.
        let held = self.plan.as_ref().map(|plan| plan.revision);
        if held.is_some_and(|held| held >= plan.revision) {
            return;
        }
        emit!(
            Event::PlanApplied,
            revision = plan.revision,
            before = held.unwrap_or_default()
        );
        self.plan = Some(Arc::clone(plan));
    }

    fn set_record(&mut self, service: &ServiceName, record: Option<&ShiftRecord>) {
        let Some(record) = record else {
            self.records.remove(service);
            return;
        };
        emit!(
            Event::ShiftRecorded,
            service = service,
            to = record.to,
            phase = format_args!("{:?}", record.phase)
        );
        self.records.insert(service.clone(), record.clone());
    }

    fn set_server(&mut self, name: &ServerName, entry: &RegisteredServer, now: Instant) {
        if let Some(known) = self.servers.get_mut(name)
            && known.entry.run == entry.run
            && known.entry.addr == entry.addr
            && known.entry.service == entry.service
        {
            if known.entry != *entry {
                emit!(
                    Event::ServerListed,
                    server = name,
                    service = entry.service,
                    leaving = entry.leaving
                );
                known.replace(entry.clone(), now);
            }
            known.removed_at = None;
            return;
        }
        let versions = self.versions.entry(entry.service.clone()).or_default();
        // The first servers that are listed of a service show the versions that serve it.
        let is_first_read =
            !self.read.contains(&Feed::Servers) || !self.servers.values().any(|s| s.entry.service == entry.service);
        let is_version_known = versions.contains(&entry.version) || is_first_read;
        versions.insert(entry.version.clone());
        emit!(
            Event::ServerListed,
            server = name,
            service = entry.service,
            domain = entry.domain,
            version = entry.version,
            leaving = entry.leaving,
            cold_ms = entry.cold_for.as_millis()
        );
        self.servers
            .insert(name.clone(), KnownServer::new(entry.clone(), now, is_version_known));
    }

    fn remove_server(&mut self, name: &ServerName, now: Instant) {
        // After an outage of the source, entries of live servers are missing for a while; a server that said that it
        // leaves is gone at once.
        let returns_by = self.entries_return_by.filter(|by| *by > now);
        match (self.servers.get_mut(name), returns_by) {
            (Some(known), Some(by)) if !known.entry.leaving => {
                known.removed_at = known.removed_at.or(Some(by));
            }
            (Some(_), _) => {
                self.servers.remove(name);
                emit!(Event::ServerUnlisted, server = name, after = "removal");
            }
            (None, _) => {}
        }
    }
}
