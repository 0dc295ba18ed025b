use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mh_shift::{Canary, CanaryThresholds, Verdict};
use mh_types::{ServiceName, StoreVersion, VersionName};

use crate::{ActiveShift, ShiftOrder, ShiftPhase, ShiftRecord};

/// Number of VMs that expose the new version of a service. Three tolerate the loss of one, and each still sees enough
/// responses.
pub(super) const CANARY_VMS: usize = 3;

/// Fraction of the allowed exposure that the canaries use together; the rest covers uneven traffic and a late switch.
const EXPOSURE_FRACTION: f64 = 0.5;

/// Time before the deadline at which all requests switch to a good new version, so that running requests to the old one
/// can finish.
const SWITCH_LEAD: Duration = Duration::from_millis(1200);

/// Time before the deadline at which completion is recorded, so that a slow write still finishes in time.
const DONE_LEAD: Duration = Duration::from_millis(600);

/// Delay per rank, so that the VMs ranked before a VM get to write first.
pub(super) const RANK_DELAY: Duration = Duration::from_millis(200);

/// Canary state of the shifts that this VM takes part in.
#[derive(Debug, Default)]
pub(crate) struct ShiftController {
    canaries: HashMap<ServiceName, (StoreVersion, Arc<Canary>)>,
}

impl ShiftController {
    /// Returns the shifts in the form that requests use.
    pub(super) fn active(
        &self,
        orders: &HashMap<ServiceName, ShiftOrder>,
        records: &HashMap<ServiceName, ShiftRecord>,
    ) -> HashMap<ServiceName, ActiveShift> {
        let mut out = HashMap::new();
        for (service, record) in records {
            let active = ActiveShift {
                to: record.to.clone(),
                phase: record.phase,
                canary: None,
            };
            out.insert(service.clone(), active);
        }
        for (service, order) in orders {
            let record = records.get(service).filter(|record| record.belongs_to(order));
            let phase = record.map_or(ShiftPhase::Exposing, |record| record.phase);
            let canary = self
                .canaries
                .get(service)
                .filter(|(version, _)| *version == order.version);
            let active = ActiveShift {
                to: order.to.clone(),
                phase,
                // Without a record no deadline is running, so nothing is exposed yet.
                canary: canary
                    .filter(|_| record.is_some())
                    .map(|(_, canary)| Arc::clone(canary)),
            };
            out.insert(service.clone(), active);
        }
        out
    }

    /// Returns the evidence that this VM collects about the shift of a service.
    pub(super) fn canary(&self, service: &ServiceName) -> Option<Arc<Canary>> {
        self.canaries.get(service).map(|(_, canary)| Arc::clone(canary))
    }

    /// Sets whether this VM is a canary of a shift; returns whether that changed.
    pub(super) fn set_canary(
        &mut self,
        service: &ServiceName,
        order: &ShiftOrder,
        is_canary: bool,
        share: f64,
        vms: u32,
    ) -> bool {
        let is_already_canary = self
            .canaries
            .get(service)
            .is_some_and(|(version, _)| *version == order.version);
        if is_already_canary == is_canary {
            return false;
        }
        if is_canary {
            let canaries = CANARY_VMS.min(vms.max(1) as usize) as f64;
            let thresholds = CanaryThresholds {
                share: (share * EXPOSURE_FRACTION * f64::from(vms.max(1)) / canaries).min(1.0),
                ..CanaryThresholds::default()
            };
            let canary = Arc::new(Canary::new(thresholds));
            self.canaries.insert(service.clone(), (order.version, canary));
        } else {
            self.canaries.remove(service);
        }
        true
    }

    /// Keeps the evidence about the shift of an order that is now stored under another version.
    pub(super) fn carry_over(&mut self, service: &ServiceName, from: StoreVersion, to: StoreVersion) {
        if let Some((version, _)) = self.canaries.get_mut(service).filter(|(version, _)| *version == from) {
            *version = to;
        }
    }
}

/// A record that is to be written.
#[derive(Debug)]
pub(super) struct DueRecord {
    pub(super) record: ShiftRecord,
    /// Versions of the service that may not be used once the record is stored.
    pub(super) retired: Vec<VersionName>,
}

/// A shift for which this VM is a canary.
#[derive(Debug)]
pub(super) struct ShiftCanary {
    pub(super) service: ServiceName,
    /// Version of the shift's order.
    pub(super) order: StoreVersion,
    /// Rank of this VM among the canaries.
    pub(super) rank: usize,
    pub(super) evidence: Arc<Canary>,
}

/// Returns the next record of a shift; `None` while none is due. `rank` is this VM's rank among the canaries, `verdict`
/// what its evidence says, and `no_record` the version that stands for no record.
pub(super) fn next_record(
    order: &ShiftOrder,
    record: Option<&ShiftRecord>,
    rank: usize,
    verdict: Verdict,
    no_record: StoreVersion,
    clock: Duration,
) -> Option<ShiftRecord> {
    let current = record.filter(|record| record.belongs_to(order));
    let version = record.map_or(no_record, |record| record.version);
    let Some(current) = current else {
        return Some(ShiftRecord {
            to: order.to.clone(),
            order: order.version,
            started: clock,
            phase: ShiftPhase::Exposing,
            version,
            written_in: record.map_or(Some(no_record.era), |record| record.written_in),
        });
    };
    let phase = next_phase(current, order, verdict, RANK_DELAY * rank as u32, clock)?;
    Some(ShiftRecord {
        phase,
        ..current.clone()
    })
}

fn next_phase(
    current: &ShiftRecord,
    order: &ShiftOrder,
    verdict: Verdict,
    delay: Duration,
    clock: Duration,
) -> Option<ShiftPhase> {
    if current.phase.is_terminal() {
        return None;
    }
    if verdict.is_fault() {
        return Some(ShiftPhase::TakenBack);
    }
    let deadline = current.started.saturating_add(order.duration);
    // A shift that has not ended by its deadline is rolled back, for example when all VMs restarted just before it and
    // the evidence is lost. The old servers keep running until the shift is recorded as done.
    if clock >= deadline {
        return Some(ShiftPhase::TakenBack);
    }
    // Bounds the lead, so that a short shift still spends most of its time on exposure.
    let due_at = |lead: Duration| deadline.saturating_sub(lead.min(order.duration / 4)) + delay.min(DONE_LEAD / 2);
    match current.phase {
        ShiftPhase::Exposing if clock >= due_at(SWITCH_LEAD) => match verdict {
            Verdict::Good => Some(ShiftPhase::Switching),
            // A version without evidence by the deadline is rolled back.
            _ if clock >= due_at(DONE_LEAD) => Some(ShiftPhase::TakenBack),
            _ => None,
        },
        ShiftPhase::Switching if clock >= due_at(DONE_LEAD) && verdict == Verdict::Good => Some(ShiftPhase::Done),
        _ => None,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shift_controller.rs"]
mod tests;
