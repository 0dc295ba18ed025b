use std::fmt;

use mh_types::{Incarnation, VmName};
use serde::{Deserialize, Serialize};

/// Identity of one write, used to read back its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WriteId {
    /// VM that sent the write.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of the write within that incarnation and shift.
    pub number: u64,
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.vm, self.incarnation, self.number)
    }
}
