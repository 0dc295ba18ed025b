mod departed;
mod live;
mod planned_drains;
mod restored;
mod service_versions;
mod shifts;
mod snapshot;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mh_poison::Fingerprint;
use mh_types::{DomainName, Event, RegionName, ServerName, ServiceName, VmName, emit};
use mh_usage::DutyRow;
use tokio::time::Instant;

use super::backend_inputs::BackendInputs;
use super::known_server::KnownServer;
use super::shift_controller::ShiftController;
use crate::{
    AnnouncedVm, Assignment, Batch, Bounds, Feed, PlacementSettings, Plan, RegisteredServer, ShiftOrder, ShiftRecord,
    StoredQuarantine, Update,
};
use planned_drains::PlannedDrains;
use restored::RestoredState;
use service_versions::ServiceVersions;

/// This VM's state of the deployment, built from the feeds of the source.
#[derive(Debug)]
pub struct DeploymentState {
    bounds: Bounds,
    region: RegionName,
    regions: BTreeMap<DomainName, RegionName>,
    plan: Option<Arc<Plan>>,
    servers: BTreeMap<ServerName, KnownServer>,
    drained: HashSet<DomainName>,
    planned_drains: PlannedDrains,
    assignment: Assignment,
    vms: BTreeMap<VmName, AnnouncedVm>,
    versions: HashMap<ServiceName, ServiceVersions>,
    /// Feeds that were read at least once.
    read_feeds: HashSet<Feed>,
    /// Feeds whose changes do not arrive at present.
    lost_feeds: HashSet<Feed>,
    /// Deadline for missing entries to return after an outage of the source.
    entries_return_by: Option<Instant>,
    pub(super) orders: HashMap<ServiceName, ShiftOrder>,
    pub(super) records: HashMap<ServiceName, ShiftRecord>,
    pub(super) shift_controller: ShiftController,
    /// Inputs of the backends that requests use now.
    built_inputs: HashMap<ServiceName, BackendInputs>,
    /// When the last full read of the VM list was applied.
    vms_read_at: Option<Instant>,
    /// A reading of the store's clock, with the local time of the read.
    clock: Option<(Duration, Instant)>,
    restored: RestoredState,
    quarantines: HashMap<Fingerprint, StoredQuarantine>,
    /// Fractions of first choices by service and failure domain, from measured demand.
    domain_fractions: BTreeMap<ServiceName, BTreeMap<DomainName, f64>>,
    pub(super) usage_duty: Option<DutyRow>,
}

impl DeploymentState {
    /// Creates the state for a VM in `region`; only the regions of the failure domains are known at first.
    pub fn new(region: RegionName, regions: BTreeMap<DomainName, RegionName>, bounds: Bounds) -> Self {
        Self {
            bounds,
            region,
            regions,
            plan: None,
            servers: BTreeMap::new(),
            drained: HashSet::new(),
            planned_drains: PlannedDrains::default(),
            assignment: Assignment::default(),
            vms: BTreeMap::new(),
            versions: HashMap::new(),
            read_feeds: HashSet::new(),
            lost_feeds: HashSet::new(),
            entries_return_by: None,
            orders: HashMap::new(),
            records: HashMap::new(),
            shift_controller: ShiftController::default(),
            built_inputs: HashMap::new(),
            vms_read_at: None,
            clock: None,
            restored: RestoredState::default(),
            quarantines: HashMap::new(),
            domain_fractions: BTreeMap::new(),
            usage_duty: None,
        }
    }

    /// Sets how requests are placed on servers.
    #[must_use]
    pub fn with_placement(mut self, placement: PlacementSettings) -> Self {
        self.assignment = placement.assignment;
        if placement.assignment == Assignment::Stable {
            self.planned_drains = PlannedDrains::new(placement.drain_spread);
        }
        self
    }

    /// Replaces the bounds and regions after a reload of the settings file.
    pub fn reload(&mut self, bounds: Bounds, regions: BTreeMap<DomainName, RegionName>) {
        self.bounds = bounds;
        self.regions = regions;
    }

    /// Replaces the fractions of first choices by service and failure domain. Services without an entry are placed by
    /// the number of VMs.
    pub(crate) fn set_domain_fractions(&mut self, fractions: BTreeMap<ServiceName, BTreeMap<DomainName, f64>>) {
        self.domain_fractions = fractions;
    }

    /// Applies a batch of `feed`. A batch with `is_whole` is a full snapshot: entries that it does not name are
    /// removed.
    pub fn apply(&mut self, feed: Feed, batch: &Batch, is_whole: bool, now: Instant) {
        self.clock = Some((batch.clock, now));
        if is_whole && feed == Feed::Vms {
            self.vms_read_at = Some(now);
        }
        if is_whole && self.restored.enter_era(feed, batch.version.era) {
            self.apply_restored(feed, batch, now);
            self.set_retired_versions(batch);
            return;
        }
        if is_whole {
            self.remove_missing(feed, batch, now);
        }
        self.read_feeds.insert(feed);
        for update in &batch.updates {
            // A full read does not show when the drain began.
            if let Update::Drained(domain, true) = update
                && !is_whole
                && !self.drained.contains(domain)
            {
                self.planned_drains.on_start(domain, now);
            }
            self.update(update, now);
        }
        self.set_retired_versions(batch);
        let drained = &self.drained;
        self.planned_drains.retain(|domain| drained.contains(domain));
    }

    /// Records that changes of `feed` no longer arrive.
    pub fn on_feed_lost(&mut self, feed: Feed) {
        self.lost_feeds.insert(feed);
    }

    /// Records that changes of `feed` arrive again. `last_failed_read_at` is the time of the last failed read;
    /// `entries_may_have_expired` states whether the outage was long enough for entries of live servers to expire.
    pub fn on_feed_recovered(&mut self, feed: Feed, last_failed_read_at: Instant, entries_may_have_expired: bool) {
        self.lost_feeds.remove(&feed);
        if feed == Feed::Servers && entries_may_have_expired {
            self.entries_return_by = last_failed_read_at.checked_add(self.bounds.entry_return);
        }
    }

    /// Returns the requests whose quarantine is in the store.
    pub(crate) fn quarantined(&self) -> Vec<Fingerprint> {
        self.quarantines.values().map(|stored| stored.fingerprint).collect()
    }

    /// Returns the time within which entries are listed again after an outage or a restore of the source.
    pub(crate) fn entry_return(&self) -> Duration {
        self.bounds.entry_return
    }

    /// Returns the store's clock at `now`; `None` before the first read.
    pub fn store_clock(&self, now: Instant) -> Option<Duration> {
        let (clock, at) = self.clock?;
        Some(clock.saturating_add(now.saturating_duration_since(at)))
    }

    /// Returns the listed VMs.
    pub fn vms(&self) -> impl Iterator<Item = &AnnouncedVm> {
        self.vms.values()
    }

    /// Returns the listed VMs of a region with their failure domains.
    pub(crate) fn vms_of_region(&self, region: &RegionName) -> Vec<(VmName, DomainName)> {
        let vms = self.vms.values().filter(|vm| vm.region == *region);
        vms.map(|vm| (vm.vm.clone(), vm.domain.clone())).collect()
    }

    /// Returns the entry of a listed VM.
    pub fn vm(&self, vm: &VmName) -> Option<&AnnouncedVm> {
        self.vms.get(vm)
    }

    /// Returns when the VM list was last read in full; `None` before that.
    pub fn vms_read_at(&self) -> Option<Instant> {
        self.vms_read_at
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Returns whether the feed was read.
    pub fn has_read(&self, feed: Feed) -> bool {
        self.read_feeds.contains(&feed)
    }

    /// Returns the next time after `now` at which the state changes without an update.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let servers = self.servers.values();
        let hold_ends = self.versions.values().flat_map(ServiceVersions::hold_ends);
        let times = servers
            .filter_map(|server| server.removed_at)
            .chain(hold_ends)
            .chain(self.restored.deadlines())
            .chain(self.planned_drains.steps());
        times.filter(|at| *at > now).min()
    }

    /// Removes what was kept for a limited time and is due: servers, and settings that a restore of the store lost. Ends
    /// the wait of versions for an order.
    pub fn expire(&mut self, now: Instant) {
        self.expire_lost(now);
        // Without the settings feed, the order may exist.
        if !self.lost_feeds.contains(&Feed::Settings) {
            self.versions.values_mut().for_each(|versions| versions.end_holds(now));
        }
        let restored = &mut self.restored;
        self.servers.retain(|name, server| {
            let gone = server.removed_at.is_some_and(|at| at <= now);
            if gone {
                restored.on_server_departed(name, &server.entry);
                emit!(Event::ServerUnlisted, server = name, after = "outage");
            }
            !gone
        });
    }

    /// Removes entries that a full read of `feed` does not name.
    fn remove_missing(&mut self, feed: Feed, batch: &Batch, now: Instant) {
        match feed {
            Feed::Settings => {
                self.drained.retain(|domain| self.restored.is_drain_lost(domain));
                self.orders.retain(|service, _| self.restored.is_order_lost(service));
            }
            Feed::Shifts => self.remove_missing_records(batch),
            Feed::Vms => {
                let named = batch.named(|update| match update {
                    Update::Vm(vm, Some(_)) => Some(vm),
                    _ => None,
                });
                self.quarantines.clear();
                self.usage_duty = None;
                let restored = &mut self.restored;
                self.vms.retain(|vm, _| {
                    let is_kept = named.contains(vm) || restored.is_vm_lost(vm);
                    if !is_kept {
                        restored.on_vm_departed(vm);
                    }
                    is_kept
                });
            }
            Feed::Servers => {
                let named = batch.named(|update| match update {
                    Update::Server(name, Some(_)) => Some(name),
                    _ => None,
                });
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
        self.restored.on_update(update);
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
                    Some(order) => {
                        self.carry_over_shift(service, order);
                        self.orders.insert(service.clone(), order.clone());
                    }
                    None => drop(self.orders.remove(service)),
                }
            }
            Update::Server(name, Some(entry)) => self.set_server(name, entry, now),
            Update::Server(name, None) => self.remove_server(name, now),
            Update::Shift(service, record) => self.set_record(service, record.as_ref()),
            // Applied after the records of the batch.
            Update::RetiredVersions(..) => {}
            Update::Vm(name, Some(vm)) => {
                if self.vms.insert(name.clone(), vm.clone()).as_ref() != Some(vm) {
                    emit!(Event::VmListed, vm = name, domain = vm.domain, callers = vm.callers);
                }
            }
            Update::Quarantine(fingerprint, Some(quarantine)) => {
                self.quarantines.insert(*fingerprint, quarantine.clone());
            }
            Update::UsageDuty(duty) => self.usage_duty.clone_from(duty),
            Update::Quarantine(fingerprint, None) => drop(self.quarantines.remove(fingerprint)),
            Update::Vm(name, None) => {
                if self.vms.remove(name).is_some() {
                    emit!(Event::VmUnlisted, vm = name);
                }
            }
        }
    }

    fn set_plan(&mut self, plan: &Arc<Plan>) {
        // A stale replica of the store must not lower the revision.
        let held = self.plan.as_ref().map(|plan| plan.revision);
        if held.is_some_and(|held| held >= plan.revision) {
            return;
        }
        self.plan = Some(Arc::clone(plan));
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
        let is_first_read = !self.read_feeds.contains(&Feed::Servers);
        let versions = self.versions.entry(entry.service.clone()).or_default();
        versions.add(&entry.version, is_first_read, now);
        emit!(
            Event::ServerListed,
            server = name,
            service = entry.service,
            domain = entry.domain,
            version = entry.version,
            leaving = entry.leaving,
            cold_ms = entry.cold_for.as_millis()
        );
        self.servers.insert(name.clone(), KnownServer::new(entry.clone(), now));
    }

    fn remove_server(&mut self, name: &ServerName, now: Instant) {
        // After an outage of the source, entries of live servers are missing for a while; a server that announced that
        // it leaves is removed at once.
        let returns_by = self.entries_return_by.filter(|by| *by > now);
        match (self.servers.get_mut(name), returns_by) {
            (Some(known), Some(by)) if !known.entry.leaving => {
                known.removed_at = known.removed_at.or(Some(by));
            }
            (Some(known), _) => {
                self.restored.on_server_departed(name, &known.entry);
                self.servers.remove(name);
                emit!(Event::ServerUnlisted, server = name, after = "removal");
            }
            (None, _) => {}
        }
    }
}
