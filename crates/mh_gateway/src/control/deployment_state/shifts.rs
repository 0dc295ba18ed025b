//! Records of shifts: those that are read, and those that are due.

use mh_shift::Verdict;
use mh_types::{Event, ServiceName, emit};
use tokio::time::Instant;

use super::DeploymentState;
use crate::control::shift_controller::{DueRecord, RANK_DELAY, ShiftCanary, next_record};
use crate::{Batch, ShiftPhase, ShiftRecord, Update};

impl DeploymentState {
    /// Returns the record that is to be written next for a shift; `None` while none is due, or if the shift was ordered
    /// anew since `canary` was chosen. `verdict` is what its evidence says.
    pub(in crate::control) fn next_shift_record(
        &self,
        canary: &ShiftCanary,
        verdict: Verdict,
        now: Instant,
    ) -> Option<DueRecord> {
        let service = &canary.service;
        let order = self.orders.get(service).filter(|order| order.version == canary.order)?;
        let record = self.records.get(service);
        let (no_record, clock) = (self.no_record_version()?, self.store_clock(now)?);
        let due = next_record(order, record, canary.rank, verdict, no_record, clock);
        let due = due.or_else(|| record.filter(|_| self.is_record_outdated(service)).cloned());
        due.map(|due| self.with_retired_versions(service, due))
    }

    /// Returns the stored records that lack retired versions. `rank` is this VM's rank for a service, so that not all VMs
    /// complete a record at once.
    pub(in crate::control) fn incomplete_records(
        &mut self,
        now: Instant,
        rank: impl Fn(&ServiceName) -> Option<usize>,
    ) -> Vec<(ServiceName, DueRecord)> {
        let versions = &mut self.versions;
        let due = self.records.iter().filter(|(service, record)| {
            let incomplete_for = versions
                .get_mut(*service)
                .and_then(|versions| versions.incomplete_for(record, now));
            let (Some(incomplete_for), Some(rank)) = (incomplete_for, rank(service)) else {
                return false;
            };
            incomplete_for >= RANK_DELAY * rank as u32
        });
        let due: Vec<_> = due.map(|(service, record)| (service.clone(), record.clone())).collect();
        let completed = due.into_iter().map(|(service, record)| {
            let record = self.with_retired_versions(&service, record);
            (service, record)
        });
        completed.collect()
    }

    fn with_retired_versions(&self, service: &ServiceName, record: ShiftRecord) -> DueRecord {
        let before = self.records.get(service).filter(|before| before.to != record.to);
        let superseded = before
            .filter(|before| before.phase != ShiftPhase::Done)
            .map(|before| &before.to);
        let versions = self.versions.get(service);
        let mut retired = versions
            .map(|versions| versions.retired_by(&record))
            .unwrap_or_default();
        retired.extend(superseded.cloned());
        DueRecord {
            retired: retired.into_iter().collect(),
            record,
        }
    }

    pub(super) fn set_record(&mut self, service: &ServiceName, record: Option<&ShiftRecord>) {
        let Some(record) = record else {
            if let Some(removed) = self.records.remove(service) {
                self.versions
                    .entry(service.clone())
                    .or_default()
                    .on_record_removed(&removed);
            }
            return;
        };
        emit!(
            Event::ShiftRecorded,
            service = service,
            to = record.to,
            phase = format_args!("{:?}", record.phase)
        );
        let record = self.merge_record(service, record);
        let versions = self.versions.entry(service.clone()).or_default();
        versions.on_record(&record, self.records.get(service));
        self.records.insert(service.clone(), record);
    }

    /// Follows the retired versions that the records in `batch` name.
    pub(super) fn set_retired_versions(&mut self, batch: &Batch) {
        for update in &batch.updates {
            if let Update::RetiredVersions(service, retired) = update {
                let versions = self.versions.entry(service.clone()).or_default();
                versions.on_retired(retired, batch.version.era, self.records.get(service));
            }
        }
    }

    /// Removes the records that a full read does not name.
    pub(super) fn remove_missing_records(&mut self, batch: &Batch) {
        let recorded = batch.named(|update| match update {
            Update::Shift(service, Some(_)) => Some(service),
            _ => None,
        });
        let restored = &self.restored;
        let versions = &mut self.versions;
        self.records.retain(|service, record| {
            let is_kept = recorded.contains(service) || restored.is_record_outdated(service);
            if !is_kept {
                versions.entry(service.clone()).or_default().on_record_removed(record);
            }
            is_kept
        });
    }
}
