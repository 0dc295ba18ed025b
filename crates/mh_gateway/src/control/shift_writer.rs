use std::sync::Arc;

use mh_types::{Event, ServiceName, VmName, emit};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use tokio::time::Instant;

use super::shift_controller::{CANARY_VMS, DueRecord, ShiftCanary};
use crate::node::GatewayNode;
use crate::{ShiftRecord, WriteOutcome};

/// Decides for which shifts this VM is a canary, and writes the records that are due; returns whether that decision
/// changed.
pub(super) fn run_shifts(node: &Arc<GatewayNode>, alive: &[VmName], vms: u32, now: Instant) -> bool {
    let (canaries, changed) = choose_canaries(node, alive, vms);
    for canary in &canaries {
        let verdict = canary.evidence.verdict();
        let due = node.control.lock().deployment.next_shift_record(canary, verdict, now);
        write_due(node, &canary.service, due, now, || {
            format!("{verdict}: {}", canary.evidence.summary())
        });
    }
    // The canaries may all be of an earlier release.
    let incomplete = node
        .control
        .lock()
        .deployment
        .incomplete_records(now, |service| rank(service, alive, node.gateway.vm()));
    for (service, due) in incomplete {
        write_due(node, &service, Some(due), now, || {
            "retired versions are missing".to_owned()
        });
    }
    changed
}

/// Writes a record that is due, unless this VM has just tried to.
fn write_due(
    node: &Arc<GatewayNode>,
    service: &ServiceName,
    due: Option<DueRecord>,
    now: Instant,
    evidence: impl Fn() -> String,
) {
    if let Some(due) = due.filter(|due| node.claim_shift_write(service, due.record.phase, now)) {
        emit!(
            Event::ShiftDecided,
            service = service,
            to = due.record.to,
            phase = format_args!("{:?}", due.record.phase),
            evidence = evidence()
        );
        tokio::spawn(write_record(Arc::clone(node), service.clone(), due));
    }
}

/// Decides for which shifts this VM is a canary; returns these, and whether that changed.
fn choose_canaries(node: &GatewayNode, alive: &[VmName], vms: u32) -> (Vec<ShiftCanary>, bool) {
    let share = node.gateway.bounds().exposure_share;
    let mut control = node.control.lock();
    let deployment = &mut control.deployment;
    let mut changed = false;
    let mut canaries = Vec::new();
    for (service, order) in &deployment.orders {
        let rank = rank(service, alive, node.gateway.vm()).filter(|rank| *rank < CANARY_VMS);
        let controller = &mut deployment.shift_controller;
        changed |= controller.set_canary(service, order, rank.is_some(), share, vms);
        if let (Some(rank), Some(canary)) = (rank, controller.canary(service)) {
            canaries.push(ShiftCanary {
                service: service.clone(),
                order: order.version,
                rank,
                evidence: canary,
            });
        }
    }
    (canaries, changed)
}

async fn write_record(node: Arc<GatewayNode>, service: ServiceName, due: DueRecord) {
    let DueRecord { record, retired } = due;
    let held_era = record.version.era;
    match node.source.record_shift(&service, &record, &retired).await {
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
                node.apply_own_record(&service, written, retired);
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
