//! Distributes changes of the store between VMs, so that only a few VMs read the store.
//!
//! If every VM followed the store, each change would wake all of them, and the number of reads would grow with the
//! product of VMs and changes. Instead, two VMs per region read the store and send reports to the other VMs of their
//! region, which confirm the newest versions. There is no consensus protocol: a VM that receives no report for a while
//! reads the store itself, VMs with a lower priority wait longer before they do, and a VM that receives reports from
//! two readers with a higher priority stops reading. If readers, network links or the store's service to some VMs fail,
//! only the affected VMs start reading.
//!
//! [`Election`] decides whether a VM reads the store. [`ChangeLog`] keeps the latest changes for VMs that missed some.
//!
//! ```
//! use mh_relay::{Election, RelayTimings};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut election = Election::new("maine-a-1".into(), RelayTimings::for_deadline(Duration::from_secs(3)), now);
//! assert!(election.is_reader(), "a VM that knows no other VM reads the store itself");
//!
//! election.set_vms(["a", "b"].map(|domain| (format!("maine-{domain}-1").as_str().into(), domain.into())), now);
//! assert_eq!(election.peers().count(), 1);
//! ```

mod change_log;
mod election;
mod priority_order;
mod relay_timings;

pub use change_log::ChangeLog;
pub use election::Election;
pub use relay_timings::RelayTimings;
