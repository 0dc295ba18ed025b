use std::sync::atomic::{AtomicU32, Ordering};

use tokio::time::Instant;

use crate::issued_id::IssuedId;
use crate::op_id::OpId;
use crate::owner::Owner;

/// Issues operation ids that this VM owns.
///
/// ```
/// use mh_once::{OpId, OpIdIssuer, Owner};
/// use mh_types::{Incarnation, VmName};
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let issuer = OpIdIssuer::new(Owner::new(VmName::from("západ-1"), Incarnation(1_700_000), start));
/// let id = issuer.issue(start, 42);
/// assert_eq!(OpId::parse(&id.to_string(), None), Ok(id));
/// ```
#[derive(Debug)]
pub struct OpIdIssuer {
    owner: Owner,
    serial: AtomicU32,
}

impl OpIdIssuer {
    /// Creates a process's issuer; an owner must have only one.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            serial: AtomicU32::new(0),
        }
    }

    /// Issues an id whose lifetime starts at `now`; `rnd` is a random number that makes the id hard to guess.
    ///
    /// Uniqueness comes from a counter in the upper half of the nonce and not from `rnd`, because two callers with the
    /// same id would get each other's answer.
    pub fn issue(&self, now: Instant, rnd: u64) -> OpId {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        OpId::Issued(IssuedId {
            vm: self.owner.vm().clone(),
            incarnation: self.owner.incarnation(),
            issued_ms: self.owner.elapsed_ms(now),
            nonce: (u64::from(serial) << 32) | (rnd & u64::from(u32::MAX)),
        })
    }
}
