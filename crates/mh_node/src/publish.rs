use std::sync::Arc;

use mh_config::Snapshot;
use mh_edge::{Backends, LiveState, VmChoice};
use mh_route::VmLocation;
use mh_types::{Event, emit};
use tokio::time::Instant;

use crate::Node;
use crate::node::lock;

/// Weight of every VM in a lookup answer; all VMs are weighted equally.
const DEFAULT_VM_WEIGHT: u32 = 100;

impl Node {
    /// Builds the state that requests read from the current settings and peers, and publishes it.
    pub(crate) fn publish(&self) {
        let old = self.edge.live();
        let local_settings = lock(&self.local_settings);
        let has_new_settings = local_settings.revision() != old.snapshot.revision;
        let snapshot = if has_new_settings {
            Arc::new(Snapshot::compile(local_settings.settings()))
        } else {
            Arc::clone(&old.snapshot)
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
        let share = lock(&self.peers).share((&self.cfg.domain, &self.cfg.region));
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
        // The settings stay locked up to this point, so that an older state cannot replace a newer one.
        self.edge.publish(live);
        if has_new_settings {
            // Requests already read the new settings, so this VM may now be reported as holding them.
            self.record_applied_settings(local_settings.settings());
        }
        let revision = local_settings.revision();
        drop(local_settings);
        if has_new_settings {
            emit!(Event::SettingsApplied, revision = revision);
        }
    }

    fn vm_choices(&self) -> Vec<VmChoice> {
        let peers = lock(&self.peers);
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
