use std::collections::BTreeMap;
use std::fmt;

use mh_types::{OrgName, StoreVersion, VmName};
use serde::{Deserialize, Serialize};

/// Bits of a token below the era.
const COUNTER_BITS: u32 = 32;

/// Fencing token. The upper bits hold the store's era, so that a store that was restored from a copy never gives the
/// tokens since that copy out again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

impl Token {
    /// Returns the era of the store in which the token was issued.
    pub fn era(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the token after `last` in `era`.
    pub(crate) fn next(last: Option<Self>, era: u64) -> Self {
        let first = Self((era << COUNTER_BITS) | 1);
        last.map_or(first, |last| first.max(Self(last.0 + 1)))
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Stored row that says who holds the duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// VM that holds the duty.
    pub holder: VmName,
    /// Its token.
    pub token: Token,
    /// First window that may be recorded in the era of the token. A store that was restored may lack the records of
    /// earlier windows that were already reported.
    pub first_window: u64,
    /// Version of the row; the number is 0 before it is written.
    pub version: StoreVersion,
}

/// Counts of one window as recorded in the store and reported to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    /// Number of the window.
    pub window: u64,
    /// Requests that servers began, by organisation.
    pub counts: BTreeMap<OrgName, u64>,
}

/// What the store holds on usage reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredUsage {
    /// Era of the store.
    pub era: u64,
    /// Who holds the duty.
    pub duty: Option<DutyRow>,
    /// The recorded windows.
    pub windows: Vec<WindowRecord>,
}
