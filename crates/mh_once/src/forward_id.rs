use std::sync::atomic::{AtomicU64, Ordering};

use mh_types::{Incarnation, VmName};

use crate::owner::Owner;

/// Unique id of a forwarded request, by which its receiver detects duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ForwardId {
    /// VM that forwards.
    pub vm: VmName,
    /// Incarnation of that VM's process.
    pub incarnation: Incarnation,
    /// Serial number of the forwarded request within the incarnation.
    pub serial: u64,
}

/// Generates the ids of the requests that one process forwards to one receiver.
///
/// Each receiver has its own generator, so that the receiver's window advances only with requests sent to it.
#[derive(Debug)]
pub struct ForwardIdGenerator {
    owner: Owner,
    serial: AtomicU64,
}

impl ForwardIdGenerator {
    /// Creates the generator of one process for one receiver, starting at serial number 0.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            serial: AtomicU64::new(0),
        }
    }

    /// Returns the id of the next request; use it for one message only, not for a retry.
    pub fn next(&self) -> ForwardId {
        ForwardId {
            vm: self.owner.vm().clone(),
            incarnation: self.owner.incarnation(),
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
        }
    }
}
