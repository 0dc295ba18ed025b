use std::sync::Arc;

use mh_types::{Event, ServiceName, VmName, emit};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use tokio::time::Instant;

use super::shift_controller::CANARY_VMS;
use crate::node::{GatewayNode, lock};
use crate::{ShiftOrder, ShiftRecord, Written};

/// Decides which shifts this VM is a canary of, and writes the records that are due.
pub(super) fn run_shifts(node: &Arc<GatewayNode>, alive: &[VmName], vms: u32, now: Instant) -> bool {
    let mut world = lock(&node.world);
    let Some(clock) = world.store_clock(now) else {
        return false;
    };
    let orders: Vec<(ServiceName, ShiftOrder)> = world.orders.iter().map(|(s, o)| (s.clone(), o.clone())).collect();
    let mut changed = false;
    let share = node.gateway.bounds().exposure_share;
    for (service, order) in orders {
        let rank = rank(&service, alive, node.gateway.vm());
        let is_canary = rank.is_some_and(|rank| rank < CANARY_VMS);
        changed |= world
            .shift_controller
            .set_canary(&service, &order, is_canary, share, vms);
        let Some(rank) = rank.filter(|rank| *rank < CANARY_VMS) else {
            continue;
        };
        let record = world.records.get(&service);
        let due = world
            .shift_controller
            .next_record(&service, &order, record, rank, clock);
        if let Some(due) = due.filter(|due| node.may_write(&service, due.phase, now)) {
            emit!(
                Event::ShiftDecided,
                service = service,
                to = due.to,
                phase = format_args!("{:?}", due.phase),
                evidence = world.shift_controller.evidence(&service)
            );
            tokio::spawn(write(Arc::clone(node), service, due));
        }
    }
    changed
}

async fn write(node: Arc<GatewayNode>, service: ServiceName, record: ShiftRecord) {
    let held = record.version;
    match node.source.record_shift(&service, &record, held).await {
        // The feed tells all VMs, this one too; taking it at once ends the exposure of a bad version earlier.
        Ok(Written::Done(version)) => node.take_record(&service, ShiftRecord { version, ..record }),
        // Another VM wrote first; the feed tells what.
        Ok(Written::Conflict) => {}
        Err(e) => emit!(
            Event::StoreWriteFailed,
            what = "shift",
            service = service,
            error = e.current_context()
        ),
    }
}

/// Place of `vm` in the order of the VMs for `service`; every VM computes the same order.
fn rank(service: &ServiceName, alive: &[VmName], vm: &VmName) -> Option<usize> {
    let weight = |vm: &VmName| {
        let mut hasher = SipHasher13::new();
        hasher.write(service.as_str().as_bytes());
        hasher.write(vm.as_str().as_bytes());
        hasher.finish()
    };
    let own = weight(vm);
    alive
        .contains(vm)
        .then(|| alive.iter().filter(|other| weight(other) > own).count())
}
