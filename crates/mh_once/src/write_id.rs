use std::fmt;

use mh_types::{Incarnation, VmName};

/// Unique id of a write to the platform table, by which its outcome is read back.
///
/// Unique because each incarnation of a process numbers its own writes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteId {
    /// VM that writes.
    pub vm: VmName,
    /// Incarnation of that VM's process.
    pub incarnation: Incarnation,
    /// Serial number of the write within the incarnation.
    pub serial: u64,
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "once/{}/{}/{}", self.vm, self.incarnation, self.serial)
    }
}
