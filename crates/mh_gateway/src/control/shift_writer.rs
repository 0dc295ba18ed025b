use std::sync::Arc;

use mh_types::{Event, ServiceName, VmName, emit};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use tokio::time::Instant;

use super::shift_controller::CANARY_VMS;
use crate::node::{GatewayNode, lock};
use crate::{ShiftOrder, ShiftRecord, WriteOutcome};

/// Decides for which shifts this VM is a canary, and writes the records that are due; returns whether that decision
/// changed.
pub(super) fn run_shifts(node: &Arc<GatewayNode>, alive: &[VmName], vms: u32, now: Instant) -> bool {
    let mut deployment = lock(&node.deployment);
    let Some(clock) = deployment.store_clock(now) else {
        return false;
    };
    let orders: Vec<(ServiceName, ShiftOrder)> =
        deployment.orders.iter().map(|(s, o)| (s.clone(), o.clone())).collect();
    let mut changed = false;
    let share = node.gateway.bounds().exposure_share;
    for (service, order) in orders {
        let rank = rank(&service, alive, node.gateway.vm());
        let is_canary = rank.is_some_and(|rank| rank < CANARY_VMS);
        changed |= deployment
            .shift_controller
            .set_canary(&service, &order, is_canary, share, vms);
        let Some(rank) = rank.filter(|rank| *rank < CANARY_VMS) else {
            continue;
        };
        let Some(no_record) = deployment.no_record_version() else {
            continue;
        };
        let record = deployment.records.get(&service);
        let due = deployment
            .shift_controller
            .next_record(&service, &order, record, rank, no_record, clock);
        let due = due.or_else(|| record.filter(|_| deployment.is_record_outdated(&service)).cloned());
        if let Some(due) = due.filter(|due| node.claim_shift_write(&service, due.phase, now)) {
            emit!(
                Event::ShiftDecided,
                service = service,
                to = due.to,
                phase = format_args!("{:?}", due.phase),
                evidence = deployment.shift_controller.evidence(&service)
            );
            tokio::spawn(write_record(Arc::clone(node), service, due));
        }
    }
    changed
}

async fn write_record(node: Arc<GatewayNode>, service: ServiceName, record: ShiftRecord) {
    let held_era = record.version.era;
    match node.source.record_shift(&service, &record).await {
        // The feed delivers the record to all VMs, including this one; applying it at once ends the exposure of a bad
        // version earlier.
        Ok(WriteOutcome::Done(version)) => {
            node.relay.note_era(version.era);
            let written = ShiftRecord {
                version,
                written_in: Some(version.era),
                ..record
            };
            // After a restore the feed is read anew.
            if version.era == held_era {
                node.apply_own_record(&service, written);
            }
        }
        // Another VM wrote first; the feed delivers its record.
        Ok(WriteOutcome::Conflict) => {}
        Err(e) => emit!(
            Event::StoreWriteFailed,
            what = "shift",
            service = service,
            error = e.current_context()
        ),
    }
}

/// Returns the rank of `vm` for `service`, which is the same on every VM.
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
