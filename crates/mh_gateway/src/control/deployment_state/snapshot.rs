use std::sync::Arc;

use tokio::time::Instant;

use super::DeploymentState;
use crate::{Feed, Update};

impl DeploymentState {
    /// Returns the full state of `feed`, for a VM that holds nothing yet.
    pub fn snapshot(&self, feed: Feed, now: Instant) -> Vec<Update> {
        match feed {
            Feed::Settings => {
                let plan = self.plan.iter().map(|plan| Update::Plan(Arc::clone(plan)));
                let drained = self.drained.iter().map(|domain| Update::Drained(domain.clone(), true));
                let orders = self.orders.iter();
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
                records
                    .map(|(service, record)| Update::Shift(service.clone(), Some(record.clone())))
                    .collect()
            }
            Feed::Vms => {
                let vms = self.vms.iter();
                vms.map(|(name, vm)| Update::Vm(name.clone(), Some(vm.clone())))
                    .collect()
            }
        }
    }
}
