use std::time::Duration;

use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

/// A VM and one incarnation of its process, which alone decides a set of operations.
///
/// Timestamps in ids and claim rows are milliseconds on the owner's clock, which starts with the process. Only the
/// owner compares them with the current time, so clocks need not be synchronised between VMs.
#[derive(Clone, Debug)]
pub struct Owner {
    vm: VmName,
    incarnation: Incarnation,
    started: Instant,
}

impl Owner {
    /// Creates an owner; `started` is the origin of its clock and must be the same throughout the process.
    pub fn new(vm: VmName, incarnation: Incarnation, started: Instant) -> Self {
        Self {
            vm,
            incarnation,
            started,
        }
    }

    /// VM of the owner.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Incarnation of the VM's process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Milliseconds from the start of the process to `now`; 0 when `now` is earlier.
    pub fn elapsed_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.started))
    }

    /// Returns true if `vm` and `incarnation` are those of this owner.
    ///
    /// An earlier incarnation of the same VM is a different owner, whose memory is lost.
    pub fn matches(&self, vm: &VmName, incarnation: Incarnation) -> bool {
        self.vm == *vm && self.incarnation == incarnation
    }
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
