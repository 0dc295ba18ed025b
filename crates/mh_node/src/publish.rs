use std::sync::Arc;

use mh_config::Snapshot;
use mh_edge::{Backends, LiveState, VmChoice};
use mh_route::VmLocation;
use mh_types::{Event, emit};
use tokio::time::Instant;

use crate::Node;
use crate::freshness::AppliedSettings;

/// Weight of every VM in a lookup answer; all VMs are weighted equally.
const DEFAULT_VM_WEIGHT: u32 = 100;

impl Node {
    /// Builds the state that requests read from the current settings and peers, and publishes it.
    pub(crate) fn publish(&self) {
        // Excludes other publishers from reading the inputs until the state is published, so that an older state cannot
        // replace a newer one.
        let publishing = self.publishing.lock();
        let old = self.edge.live();
        let new_settings = self.new_settings(&old);
        let has_new_settings = new_settings.is_some();
        let (snapshot, applied) = match new_settings {
            Some((snapshot, applied)) => (Arc::new(snapshot), Some(applied)),
            None => (Arc::clone(&old.snapshot), None),
        };
        let location = VmLocation {
            domain: self.cfg.domain.clone(),
            region: self.cfg.region.clone(),
        };
        let now = Instant::now();
        let backends = if has_new_settings {
            let build_backends = |service| {
                let previous = old.backends.get(&service).map(AsRef::as_ref);
                let spec = snapshot.services.get(&service)?;
                Some((service, Arc::new(Backends::new(spec, &location, previous, now))))
            };
            snapshot.services.keys().cloned().filter_map(build_backends).collect()
        } else {
            old.backends.clone()
        };
        let share = self.peers.lock().share((&self.cfg.domain, &self.cfg.region));
        let limiters = if has_new_settings {
            Arc::new(self.allowances.sync(&snapshot))
        } else {
            Arc::clone(&old.limiters)
        };
        let version_gates = if has_new_settings {
            self.shifts.sync(&snapshot, self.rank())
        } else {
            old.version_gates.clone()
        };
        let live = LiveState {
            version_gates,
            snapshot,
            backends,
            limiters,
            vms: self.vm_choices(),
            share,
            leaving: self.is_leaving(),
        };
        self.edge.publish(live);
        if let Some(applied) = applied {
            // Requests already read the new settings, so this VM may now be reported as holding them.
            let revision = applied.revision;
            self.record_applied_settings(applied);
            drop(publishing);
            emit!(Event::SettingsApplied, revision = revision);
        }
    }

    /// Compiles the settings held, if requests do not read them yet.
    fn new_settings(&self, old: &LiveState) -> Option<(Snapshot, AppliedSettings)> {
        let local_settings = self.local_settings.lock();
        let settings = local_settings.settings();
        (local_settings.revision() != old.snapshot.revision)
            .then(|| (Snapshot::compile(settings), AppliedSettings::of(settings)))
    }

    fn vm_choices(&self) -> Vec<VmChoice> {
        let peers = self.peers.lock();
        let usable = peers.usable(&self.cfg.vm, (&self.cfg.domain, &self.cfg.region), Instant::now());
        let staying = usable
            .into_iter()
            .filter(|vm| vm.name != self.cfg.vm || !self.is_leaving());
        staying
            .map(|vm| VmChoice {
                vm: vm.name.clone(),
                addr: vm.caller,
                domain: vm.domain.clone(),
                weight: DEFAULT_VM_WEIGHT,
            })
            .collect()
    }
}
