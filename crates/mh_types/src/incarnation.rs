use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of one start of a VM's process; each restart gets a higher one.
///
/// The process derives it from the wall clock at its start, in microseconds since 1970-01-01 UTC.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
