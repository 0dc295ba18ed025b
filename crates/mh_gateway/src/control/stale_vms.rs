use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mh_types::{Event, VmName, emit};
use tokio::time::Instant;

use super::announce;
use crate::AnnouncedVm;
use crate::node::GatewayNode;

/// Time for which a VM must be considered dead before its entry is removed. It is longer than a restart or a usual
/// network partition; until then the VM's slots of quotas are idle.
const REMOVAL_DELAY: Duration = Duration::from_secs(20);

/// Time between two attempts to register this VM again or to remove the same entry.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Finds listed VMs that are permanently gone, so that their entries are removed.
#[derive(Debug, Default)]
pub(crate) struct StaleVms {
    dead_since: HashMap<VmName, Instant>,
    /// Time of this VM's last attempt to write or remove each entry.
    last_attempts: HashMap<VmName, Instant>,
}

impl StaleVms {
    /// Returns the entries that this VM should remove now. Of the VMs in `alive`, only the one with the smallest name
    /// removes entries.
    pub(crate) fn due(&mut self, own_vm: &VmName, alive: &[VmName], dead: Vec<VmName>, now: Instant) -> Vec<VmName> {
        self.dead_since.retain(|vm, _| dead.contains(vm));
        for vm in dead {
            self.dead_since.entry(vm).or_insert(now);
        }
        // A VM that sees fewer than half of the others alive is more likely to be partitioned itself.
        let sees_most = alive.len() > self.dead_since.len();
        if !sees_most || alive.iter().min() != Some(own_vm) {
            return Vec::new();
        }
        let removal_due = |(vm, since): (&VmName, &Instant)| (now >= *since + REMOVAL_DELAY).then(|| vm.clone());
        let due: Vec<VmName> = self.dead_since.iter().filter_map(removal_due).collect();
        due.into_iter().filter(|vm| self.claim_attempt(vm, now)).collect()
    }

    /// Returns whether an attempt for `vm` may be made now; if so, records it.
    pub(crate) fn claim_attempt(&mut self, vm: &VmName, now: Instant) -> bool {
        let due = self.last_attempts.get(vm).is_none_or(|at| now >= *at + RETRY_INTERVAL);
        if due {
            self.last_attempts.insert(vm.clone(), now);
        }
        due
    }
}

/// Removes the entries `due`, writes the entries `lost` again, and registers this VM again if `should_announce` is set.
pub(super) fn update_vm_list(node: &Arc<GatewayNode>, due: Vec<VmName>, lost: Vec<AnnouncedVm>, should_announce: bool) {
    for vm in lost {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            if let Err(e) = node.source.announce(&vm).await {
                emit!(
                    Event::StoreWriteFailed,
                    what = "list a VM again",
                    error = e.current_context()
                );
            }
        });
    }
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
    if should_announce {
        tokio::spawn(announce(Arc::clone(node)));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stale_vms.rs"]
mod tests;
