use std::collections::BTreeMap;
use std::time::Duration;

use mh_types::VmName;
use tokio::time::Instant;

/// Minimum time for which a VM must be missing from the list before it counts as removed.
///
/// It is longer than [`mh_budget::LendingSettings::pause_limit`], the pause after which a VM must confirm that it still
/// owns its slots.
const MIN_ABSENCE: Duration = Duration::from_secs(10);

/// Tracks for how long VMs have been missing from the platform's list.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbsenceTracker {
    last_listed: BTreeMap<VmName, Instant>,
    started: Option<Instant>,
    removal_delay: Duration,
}

impl AbsenceTracker {
    /// Records a list that was read at `now` and lags by at most `lag`; an empty list is ignored.
    pub(crate) fn record_listed<'v>(&mut self, listed: impl Iterator<Item = &'v VmName>, lag: Duration, now: Instant) {
        let mut is_any_listed = false;
        for name in listed {
            is_any_listed = true;
            self.last_listed.insert(name.clone(), now);
        }
        if is_any_listed {
            self.started.get_or_insert(now);
            self.removal_delay = (lag * 2).max(MIN_ABSENCE);
        }
    }

    /// Returns whether `vm` has been missing for long enough to count as removed.
    pub(crate) fn is_removed(&self, vm: &VmName, now: Instant) -> bool {
        let Some(since) = self.last_listed.get(vm).copied().or(self.started) else {
            return false;
        };
        now.saturating_duration_since(since) > self.removal_delay
    }
}
