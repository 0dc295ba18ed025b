use std::sync::Arc;

use mh_config::Snapshot;
use mh_edge::{Backends, LiveState, VmChoice};
use mh_route::Home;
use mh_types::{Event, emit};
use tokio::time::Instant;

use crate::Node;
use crate::node::lock;

/// Weight of a VM in a look-up's answer when nothing tells them apart.
const EVEN_WEIGHT: u32 = 100;

impl Node {
    /// Publishes the state that requests read, from the settings and the peers known now.
    pub(crate) fn publish(&self) {
        let old = self.edge.live();
        let control = lock(&self.control);
        let fresh = control.revision() != old.snapshot.revision;
        let snapshot = if fresh {
            Arc::new(Snapshot::compile(control.settings()))
        } else {
            Arc::clone(&old.snapshot)
        };
        let home = Home {
            domain: self.cfg.domain.clone(),
            region: self.cfg.region.clone(),
        };
        let now = Instant::now();
        let backends = if fresh {
            let build = |service| {
                let previous = old.backends.get(&service).map(AsRef::as_ref);
                let spec = snapshot.services.get(&service)?;
                Some((service, Arc::new(Backends::new(spec, &home, previous, now))))
            };
            snapshot.services.keys().cloned().filter_map(build).collect()
        } else {
            old.backends.clone()
        };
        let share = lock(&self.peers).share((&self.cfg.domain, &self.cfg.region));
        let limiters = if fresh {
            Arc::new(self.allowances.sync(&snapshot))
        } else {
            Arc::clone(&old.limiters)
        };
        let gates = if fresh {
            self.shifts.sync(&snapshot, self.rank())
        } else {
            old.gates.clone()
        };
        let live = LiveState {
            gates,
            snapshot,
            backends,
            limiters,
            vms: self.choices(),
            share,
            leaving: self.is_leaving(),
        };
        // The lock is held until here, so that an older state cannot replace a newer one.
        self.edge.publish(live);
        if fresh {
            // Requests already read the new settings, so this VM may now be counted among those that hold them.
            self.note_applied(control.settings());
        }
        let revision = control.revision();
        drop(control);
        if fresh {
            emit!(Event::SettingsApplied, revision = revision);
        }
    }

    fn choices(&self) -> Vec<VmChoice> {
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
                weight: EVEN_WEIGHT,
            })
            .collect()
    }
}
