use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use mh_types::VersionName;
use tokio::time::Instant;

use crate::{ShiftOrder, ShiftPhase, ShiftRecord};

/// How long a version that is new to a service waits for its shift order, which arrives on another feed. It is longer
/// than the time in which a dead connection of that feed is detected.
const NEW_VERSION_HOLD: Duration = Duration::from_secs(8);

/// Whether requests may use the servers of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionUse {
    /// They serve, as far as the phase of the shift allows.
    Allowed,
    /// They may be used only for the requests that the canaries expose to them.
    Exposed,
    /// They may be used if no other version serves.
    Reserve,
    /// They may not be used.
    Denied,
}

/// The versions of a service, and which of them requests may use.
///
/// It is decided for a version, not for a server: servers that register late, or again under their names, are used like
/// the others of their version.
#[derive(Debug, Default)]
pub(super) struct ServiceVersions {
    /// Registered versions, with the time until which those wait for an order that are new to the service.
    held_until: HashMap<VersionName, Option<Instant>>,
    /// Versions that were rolled back, or replaced by one that is done. Only a new order allows them.
    retired: BTreeSet<VersionName>,
    /// The retired versions that the store's record names; empty if it names none.
    stored: BTreeSet<VersionName>,
    /// Era of the store of the last record that named retired versions.
    era: u64,
    /// When this VM noticed that the stored record lacks retired versions.
    incomplete_since: Option<Instant>,
}

impl ServiceVersions {
    /// Adds the version of a registered server. The versions that are registered at the first read serve already, as does
    /// the first one of a service.
    pub(super) fn add(&mut self, version: &VersionName, is_first_read: bool, now: Instant) {
        let serves = is_first_read || self.held_until.is_empty();
        let held_until = (!serves).then(|| now + NEW_VERSION_HOLD);
        self.held_until.entry(version.clone()).or_insert(held_until);
    }

    /// Returns when versions no longer wait for an order.
    pub(super) fn hold_ends(&self) -> impl Iterator<Item = Instant> {
        self.held_until.values().copied().flatten()
    }

    /// Ends the wait of the versions that no order has named in time.
    pub(super) fn end_holds(&mut self, now: Instant) {
        let due = self
            .held_until
            .values_mut()
            .filter(|until| until.is_some_and(|until| until <= now));
        due.for_each(|until| *until = None);
    }

    /// Follows the record of a shift, which replaces `before`.
    pub(super) fn on_record(&mut self, record: &ShiftRecord, before: Option<&ShiftRecord>) {
        if let Some(before) = before.filter(|before| before.to != record.to) {
            self.retire_unfinished(before);
        }
        if record.phase.is_terminal() {
            self.retired = self.retired_by(record);
        }
        if record.phase == ShiftPhase::Done {
            self.held_until.insert(record.to.clone(), None);
        }
        // Earlier releases name no retired versions; of the others' records `on_retired` is told next.
        self.stored.clear();
    }

    /// Follows the removal of a record.
    pub(super) fn on_record_removed(&mut self, record: &ShiftRecord) {
        self.retire_unfinished(record);
        self.stored.clear();
    }

    fn retire_unfinished(&mut self, record: &ShiftRecord) {
        if record.phase != ShiftPhase::Done {
            self.retired.insert(record.to.clone());
        }
    }

    /// Follows the retired versions that the record `record` of the store's era `era` names.
    ///
    /// Each record is derived from the one before it, so it also tells of those that this VM has missed. After a restore of
    /// the store it may be older than what this VM knows.
    pub(super) fn on_retired(&mut self, versions: &[VersionName], era: u64, record: Option<&ShiftRecord>) {
        self.stored = versions.iter().cloned().collect();
        if era > self.era {
            self.retired.extend(versions.iter().cloned());
        } else {
            self.retired.clone_from(&self.stored);
        }
        self.era = era;
        if let Some(done) = record.filter(|record| record.phase == ShiftPhase::Done) {
            self.retired.remove(&done.to);
        }
    }

    /// Returns the retired versions.
    pub(super) fn retired(&self) -> &BTreeSet<VersionName> {
        &self.retired
    }

    /// Returns for how long the stored record has lacked retired versions that this VM knows of; `None` if it names all. A
    /// VM of an earlier release has written it, or the store was restored.
    pub(super) fn incomplete_for(&mut self, record: &ShiftRecord, now: Instant) -> Option<Duration> {
        let mut others = self.retired.iter().filter(|version| **version != record.to);
        if others.all(|version| self.stored.contains(version)) {
            self.incomplete_since = None;
            return None;
        }
        let since = *self.incomplete_since.get_or_insert(now);
        Some(now.saturating_duration_since(since))
    }

    /// Returns the versions that are retired once `record` is stored.
    pub(super) fn retired_by(&self, record: &ShiftRecord) -> BTreeSet<VersionName> {
        let mut retired = self.retired.clone();
        if record.phase == ShiftPhase::Done {
            let serving = self.held_until.iter().filter(|(_, until)| until.is_none());
            retired.extend(serving.map(|(version, _)| version.clone()));
        }
        if record.phase == ShiftPhase::TakenBack {
            retired.insert(record.to.clone());
        } else {
            retired.remove(&record.to);
        }
        retired
    }

    /// Decides whether requests may use a version.
    pub(super) fn decide(
        &self,
        version: &VersionName,
        order: Option<&ShiftOrder>,
        record: Option<&ShiftRecord>,
    ) -> VersionUse {
        let running = record.filter(|record| record.to == *version && !record.phase.is_terminal());
        let phase = match order {
            Some(order) if order.to == *version => {
                let record = record.filter(|record| record.belongs_to(order));
                Some(record.map_or(ShiftPhase::Exposing, |record| record.phase))
            }
            Some(_) => None,
            None => running.map(|record| record.phase),
        };
        match phase {
            Some(ShiftPhase::Exposing) => VersionUse::Exposed,
            Some(ShiftPhase::Switching | ShiftPhase::Done) => VersionUse::Allowed,
            Some(ShiftPhase::TakenBack) => VersionUse::Denied,
            None if self.retired.contains(version) => VersionUse::Denied,
            // Another order came before its shift ended, as far as this VM knows.
            None if running.is_some() => VersionUse::Reserve,
            None => match self.held_until.get(version) {
                Some(None) => VersionUse::Allowed,
                Some(Some(_)) | None => VersionUse::Reserve,
            },
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/service_versions.rs"]
mod tests;
