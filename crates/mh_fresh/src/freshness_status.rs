use std::time::Duration;

use mh_types::Revision;

/// Freshness of the settings that this VM holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessStatus {
    /// The VM holds every change accepted more than `age` ago, and `age` is within the bound.
    Current {
        /// Age of the evidence.
        age: Duration,
    },
    /// A newer revision than the one held is, or may have been, committed.
    Behind {
        /// Highest revision known.
        known: Revision,
        /// Revision held.
        held: Revision,
    },
    /// The newest evidence is older than the bound.
    Unconfirmed {
        /// Age of the evidence; [`Duration::MAX`] when there has been none.
        age: Duration,
    },
}

impl FreshnessStatus {
    /// Whether keyed requests may be served when the VM is configured to refuse requests on stale settings.
    pub fn is_current(&self) -> bool {
        matches!(self, Self::Current { .. })
    }
}
