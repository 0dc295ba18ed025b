use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, VmName, emit};
use tokio::time::Instant;

use super::announce;
use crate::node::GatewayNode;

/// Time for which a VM must be held dead before its entry is removed. It outlasts a restart and a usual cut; until then
/// its slots of quotas lie idle.
const REMOVE_AFTER: Duration = Duration::from_secs(20);

/// Time between two tries to list this VM again, or to remove the same entry.
const RETRY: Duration = Duration::from_secs(5);

/// Finds listed VMs that are gone for good, so that their entries are removed.
#[derive(Debug, Default)]
pub(crate) struct StaleVms {
    dead_since: HashMap<VmName, Instant>,
    /// When an entry was last written or removed by this VM.
    tried: HashMap<VmName, Instant>,
}

impl StaleVms {
    /// The entries that this VM should remove now. `alive` are the VMs believed alive; one of them removes.
    pub(crate) fn due(&mut self, me: &VmName, alive: &[VmName], dead: Vec<VmName>, now: Instant) -> Vec<VmName> {
        self.dead_since.retain(|vm, _| dead.contains(vm));
        for vm in dead {
            self.dead_since.entry(vm).or_insert(now);
        }
        // A VM that sees fewer than half of the others alive is rather cut off itself.
        let sees_most = alive.len() > self.dead_since.len();
        if !sees_most || alive.iter().min() != Some(me) {
            return Vec::new();
        }
        let old = |(vm, since): (&VmName, &Instant)| (now >= *since + REMOVE_AFTER).then(|| vm.clone());
        let due: Vec<VmName> = self.dead_since.iter().filter_map(old).collect();
        due.into_iter().filter(|vm| self.may_try(vm, now)).collect()
    }

    /// Whether something may be tried for `vm` now.
    pub(crate) fn may_try(&mut self, vm: &VmName, now: Instant) -> bool {
        let due = self.tried.get(vm).is_none_or(|at| now >= *at + RETRY);
        if due {
            self.tried.insert(vm.clone(), now);
        }
        due
    }
}

/// Removes the entries `due`, and lists this VM again if its own entry was removed.
pub(super) fn update_list(node: &Arc<GatewayNode>, due: Vec<VmName>, unlisted: bool) {
    for vm in due {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            emit!(Event::VmUnlisted, vm = vm, after = "held dead");
            if let Err(e) = node.source.withdraw(&vm).await {
                emit!(
                    Event::StoreWriteFailed,
                    what = "remove a VM",
                    error = e.current_context()
                );
            }
        });
    }
    if unlisted {
        tokio::spawn(announce(Arc::clone(node)));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stale_vms.rs"]
mod tests;
