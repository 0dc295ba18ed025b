use std::sync::Arc;

use tokio::time::Instant;

use super::DeploymentState;
use crate::{Feed, Update};

impl DeploymentState {
    /// Returns the full state of `feed`, for a VM that holds nothing yet. What a restore of the store lost is left out: the
    /// receiver decides on its own whether to keep it.
    pub fn snapshot(&self, feed: Feed, now: Instant) -> Vec<Update> {
        match feed {
            Feed::Settings => {
                let plan = self.plan.iter().map(|plan| Update::Plan(Arc::clone(plan)));
                let drained = self
                    .drained
                    .iter()
                    .filter(|domain| !self.restored.is_drain_lost(domain));
                let drained = drained.map(|domain| Update::Drained(domain.clone(), true));
                let orders = self
                    .orders
                    .iter()
                    .filter(|(service, _)| !self.restored.is_order_lost(service));
                let orders = orders.map(|(service, order)| Update::Order(service.clone(), Some(order.clone())));
                plan.chain(drained).chain(orders).collect()
            }
            Feed::Servers => {
                // A server whose removal is delayed is left out: the receiver decides on its own whether to wait.
                let listed = self.servers.iter().filter(|(_, server)| server.removed_at.is_none());
                listed
                    .map(|(name, server)| Update::Server(name.clone(), Some(server.entry_at(now))))
                    .collect()
            }
            Feed::Shifts => {
                let records = self.records.iter();
                let records = records.map(|(service, record)| Update::Shift(service.clone(), Some(record.clone())));
                let retired = self
                    .versions
                    .iter()
                    .filter(|(_, versions)| !versions.retired().is_empty());
                let retired = retired.map(|(service, versions)| {
                    let retired = versions.retired().iter().cloned().collect();
                    Update::RetiredVersions(service.clone(), retired)
                });
                records.chain(retired).collect()
            }
            Feed::Vms => {
                let vms = self.vms.iter().filter(|(vm, _)| !self.restored.is_vm_lost(vm));
                let vms = vms.map(|(name, vm)| Update::Vm(name.clone(), Some(vm.clone())));
                let quarantines = self.quarantines.iter();
                let quarantines = quarantines.map(|(key, stored)| Update::Quarantine(*key, Some(stored.clone())));
                let duty = self.usage_duty.iter().map(|duty| Update::UsageDuty(Some(duty.clone())));
                vms.chain(quarantines).chain(duty).collect()
            }
        }
    }
}
