use std::time::Duration;

use mh_poison::{Fingerprint, QuarantineEntry};
use serde::{Deserialize, Serialize};

/// Quarantine of a request as kept in the store, for VMs that start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredQuarantine {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The store's clock at the first crash.
    pub first_crash: Duration,
    /// The store's clock at the end of the quarantine.
    pub until: Duration,
    /// Number of quarantines of this request so far.
    pub count: u32,
}

impl StoredQuarantine {
    /// Converts a quarantine to times on the store's `clock`.
    pub(crate) fn new(entry: &QuarantineEntry, clock: Duration) -> Self {
        Self {
            fingerprint: entry.fingerprint,
            first_crash: clock.saturating_sub(Duration::from_millis(entry.first_crash_ms)),
            until: clock.saturating_add(Duration::from_millis(entry.remaining_ms)),
            count: entry.count,
        }
    }

    /// Converts the quarantine to times relative to the store's `clock`.
    pub(crate) fn entry(&self, clock: Duration) -> QuarantineEntry {
        QuarantineEntry {
            fingerprint: self.fingerprint,
            first_crash_ms: clock.saturating_sub(self.first_crash).as_millis() as u64,
            remaining_ms: self.until.saturating_sub(clock).as_millis() as u64,
            count: self.count,
        }
    }
}
