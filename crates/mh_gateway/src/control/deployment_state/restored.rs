//! Reconciles what a VM knows with a store that was restored from an older copy.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mh_types::{DomainName, ServerName, ServiceName, StoreVersion, VmName};
use tokio::time::Instant;

use super::DeploymentState;
use super::departed::Departed;
use crate::{AnnouncedVm, Batch, Feed, RegisteredServer, ShiftOrder, ShiftRecord, Update};

/// Time within which operators write again what a restore lost; what is still missing then was withdrawn. Until then the
/// VM goes by what it knew.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// State from before a restore that the store does not hold, and what VMs have to write again.
#[derive(Debug, Default)]
pub(super) struct RestoredState {
    /// Era of the store of each feed's last batch.
    eras: HashMap<Feed, u64>,
    /// Drained failure domains that the store lost, with the time at which they count as withdrawn.
    lost_drains: HashMap<DomainName, Instant>,
    /// Shift orders that the store lost, with the time at which they count as withdrawn.
    lost_orders: HashMap<ServiceName, Instant>,
    /// VMs whose entries the store lost, with the time of the read that showed it.
    lost_vms: HashMap<VmName, Instant>,
    /// VMs that had left, whose entries are back in the store.
    revived_vms: HashSet<VmName>,
    /// Services whose stored shift record is older than the one held.
    outdated_records: HashSet<ServiceName>,
    departed_servers: Departed<ServerName, (u64, u64)>,
    departed_vms: Departed<VmName, ()>,
}

impl RestoredState {
    /// Records the era of a batch of `feed`; returns whether the store was restored since the feed's last batch.
    pub(super) fn enter_era(&mut self, feed: Feed, era: u64) -> bool {
        self.eras.insert(feed, era).is_some_and(|before| before < era)
    }

    /// Returns the times at which lost entries count as withdrawn.
    pub(super) fn deadlines(&self) -> impl Iterator<Item = Instant> {
        self.lost_drains.values().chain(self.lost_orders.values()).copied()
    }

    pub(super) fn is_drain_lost(&self, domain: &DomainName) -> bool {
        self.lost_drains.contains_key(domain)
    }

    pub(super) fn is_order_lost(&self, service: &ServiceName) -> bool {
        self.lost_orders.contains_key(service)
    }

    pub(super) fn is_record_outdated(&self, service: &ServiceName) -> bool {
        self.outdated_records.contains(service)
    }

    pub(super) fn is_vm_lost(&self, vm: &VmName) -> bool {
        self.lost_vms.contains_key(vm)
    }

    /// Records that the store holds what `update` says.
    pub(super) fn on_update(&mut self, update: &Update) {
        match update {
            Update::Drained(domain, _) => drop(self.lost_drains.remove(domain)),
            Update::Order(service, _) => drop(self.lost_orders.remove(service)),
            Update::Vm(vm, entry) => {
                self.lost_vms.remove(vm);
                self.revived_vms.remove(vm);
                match entry {
                    Some(_) => self.departed_vms.remove(vm),
                    None => self.departed_vms.insert(vm.clone(), ()),
                }
            }
            Update::Plan(_)
            | Update::Server(..)
            | Update::Shift(..)
            | Update::Quarantine(..)
            | Update::UsageDuty(_)
            | Update::RetiredVersions(..) => {}
        }
    }

    /// Records that a server's entry was removed.
    pub(super) fn on_server_departed(&mut self, name: &ServerName, entry: &RegisteredServer) {
        self.departed_servers.insert(name.clone(), (entry.run, entry.sequence));
    }

    /// Records that a VM's entry was removed.
    pub(super) fn on_vm_departed(&mut self, vm: &VmName) {
        self.departed_vms.insert(vm.clone(), ());
    }
}

impl DeploymentState {
    /// Applies the full state of `feed` from a store that was restored since the feed's last batch.
    ///
    /// The store lacks what was written after the copy was taken, and holds what was removed since. Operators and servers
    /// write again; until then the newer of both states counts.
    pub(super) fn apply_restored(&mut self, feed: Feed, batch: &Batch, now: Instant) {
        match feed {
            Feed::Settings => self.retain_lost_settings(batch, now),
            Feed::Servers => {
                self.entries_return_by = now.checked_add(self.bounds.entry_return);
                self.remove_missing(feed, batch, now);
            }
            Feed::Shifts => self.retain_lost_records(batch),
            Feed::Vms => {
                self.usage_duty = None;
                let named = batch.named(|update| match update {
                    Update::Vm(vm, Some(_)) => Some(vm),
                    _ => None,
                });
                let lost = self.vms.keys().filter(|vm| !named.contains(vm));
                self.restored.lost_vms = lost.map(|vm| (vm.clone(), now)).collect();
            }
        }
        for update in &batch.updates {
            if !self.is_outdated(update, now) {
                self.update(update, now);
            }
        }
    }

    fn retain_lost_settings(&mut self, batch: &Batch, now: Instant) {
        let withdrawn_at = now + REWRITE_TIME;
        let drained = batch.named(|update| match update {
            Update::Drained(domain, true) => Some(domain),
            _ => None,
        });
        let lost = self.drained.iter().filter(|domain| !drained.contains(domain));
        self.restored.lost_drains = lost.map(|domain| (domain.clone(), withdrawn_at)).collect();
        let ordered = batch.named(|update| match update {
            Update::Order(service, Some(_)) => Some(service),
            _ => None,
        });
        let lost = self.orders.keys().filter(|service| !ordered.contains(service));
        self.restored.lost_orders = lost.map(|service| (service.clone(), withdrawn_at)).collect();
    }

    fn retain_lost_records(&mut self, batch: &Batch) {
        let recorded = batch.named(|update| match update {
            Update::Shift(service, Some(_)) => Some(service),
            _ => None,
        });
        for (service, record) in &mut self.records {
            if !recorded.contains(service) {
                record.version = batch.version.before_any_write();
                self.restored.outdated_records.insert(service.clone());
            }
        }
    }

    /// Returns whether an entry of a restored store is older than what this VM knows.
    fn is_outdated(&mut self, update: &Update, now: Instant) -> bool {
        match update {
            Update::Server(name, Some(entry)) => self.is_entry_outdated(name, entry, now),
            Update::Vm(vm, Some(_)) if !self.vms.contains_key(vm) && self.restored.departed_vms.get(vm).is_some() => {
                self.restored.revived_vms.insert(vm.clone());
                true
            }
            _ => false,
        }
    }

    /// Returns whether this VM has seen a later state of the server. A live server's next heartbeat replaces the entry.
    fn is_entry_outdated(&mut self, name: &ServerName, entry: &RegisteredServer, now: Instant) -> bool {
        let state = (entry.run, entry.sequence);
        if let Some(known) = self.servers.get(name) {
            let is_outdated = state < (known.entry.run, known.entry.sequence);
            if is_outdated {
                // The server may have left since this VM last heard of it.
                self.remove_server(name, now);
            }
            return is_outdated;
        }
        let departed = self.restored.departed_servers.get(name);
        departed.is_some_and(|departed| state <= *departed)
    }

    /// Drops what operators have not written again in time.
    pub(super) fn expire_lost(&mut self, now: Instant) {
        let due = |at: &Instant| *at <= now;
        let drains: Vec<DomainName> = due_keys(&self.restored.lost_drains, due);
        for domain in drains {
            self.update(&Update::Drained(domain, false), now);
        }
        let orders: Vec<ServiceName> = due_keys(&self.restored.lost_orders, due);
        for service in orders {
            self.update(&Update::Order(service, None), now);
        }
    }

    /// Returns whether `vm` is listed and the store holds its entry.
    pub fn is_vm_stored(&self, vm: &VmName) -> bool {
        self.vms.contains_key(vm) && !self.restored.is_vm_lost(vm)
    }

    /// Returns the entries of VMs that a restore lost at least `age` ago, for any VM to write again.
    pub(crate) fn lost_vms(&self, age: Duration, now: Instant) -> Vec<AnnouncedVm> {
        let lost = self.restored.lost_vms.iter().filter(|(_, since)| now >= **since + age);
        lost.filter_map(|(vm, _)| self.vms.get(vm).cloned()).collect()
    }

    /// Returns the VMs that had left and are listed again after a restore, for any VM to remove.
    pub(crate) fn revived_vms(&self) -> Vec<VmName> {
        self.restored.revived_vms.iter().cloned().collect()
    }

    /// Returns the version that a record must have for a write while `service` has none; `None` while the progress of
    /// shifts was not yet read from the restored store, since a condition on an earlier state could hold by chance.
    pub(crate) fn no_record_version(&self) -> Option<StoreVersion> {
        let era = *self.restored.eras.get(&Feed::Shifts)?;
        let newest = self.restored.eras.values().max();
        (newest == Some(&era)).then(|| StoreVersion::new(era, 0))
    }

    /// Returns whether the store's record of the shift of `service` must be written again.
    pub(crate) fn is_record_outdated(&self, service: &ServiceName) -> bool {
        self.restored.is_record_outdated(service)
    }

    /// Merges a record read from the store with the one held. A restore may have lost the later one of the same shift.
    pub(super) fn merge_record(&mut self, service: &ServiceName, read: &ShiftRecord) -> ShiftRecord {
        let is_restored = |held: &&ShiftRecord| {
            held.version.era < read.version.era || self.restored.outdated_records.contains(service)
        };
        let held = self.records.get(service).filter(is_restored);
        let Some(held) = held.filter(|held| held.to == read.to && held.is_ahead_of(read)) else {
            self.restored.outdated_records.remove(service);
            return read.clone();
        };
        let merged = ShiftRecord {
            version: read.version,
            written_in: read.written_in,
            ..held.clone()
        };
        self.restored.outdated_records.insert(service.clone());
        merged
    }

    /// Gives the shift of an order that was read again in a later era the order's new version.
    pub(super) fn carry_over_shift(&mut self, service: &ServiceName, order: &ShiftOrder) {
        let Some(held) = self.orders.get(service) else { return };
        let is_same_order =
            held.version.era < order.version.era && held.to == order.to && held.duration == order.duration;
        if !is_same_order {
            return;
        }
        self.shift_controller.carry_over(service, held.version, order.version);
        let record = self.records.get_mut(service);
        if let Some(record) = record.filter(|record| record.belongs_to(held) && !record.belongs_to(order)) {
            record.order = order.version;
            self.restored.outdated_records.insert(service.clone());
        }
    }
}

fn due_keys<K: Clone>(deadlines: &HashMap<K, Instant>, is_due: impl Fn(&Instant) -> bool) -> Vec<K> {
    let due = deadlines.iter().filter(|(_, at)| is_due(at));
    due.map(|(key, _)| key.clone()).collect()
}
