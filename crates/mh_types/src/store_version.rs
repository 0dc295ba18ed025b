use std::fmt;

use serde::{Deserialize, Serialize};

/// Position in the history of the platform's store.
///
/// The store numbers its writes. After it was restored from a copy it gives the numbers since that copy out again, in the
/// next era, so versions are ordered by era first. A number alone identifies no state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreVersion {
    /// Number of restores before this version.
    pub era: u64,
    /// Number of the write within the era.
    pub number: u64,
}

impl StoreVersion {
    /// The version before any write.
    pub const ZERO: Self = Self { era: 0, number: 0 };

    /// Creates the version with `number` in `era`.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the version of a row that does not exist in the era of this version.
    #[must_use]
    pub fn before_any_write(self) -> Self {
        Self { number: 0, ..self }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
