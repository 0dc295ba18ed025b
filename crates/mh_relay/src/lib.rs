//! Passes changes of the store on between VMs, so that few VMs read it.
//!
//! If every VM followed the store, each change would wake all of them, and the number of reads would grow with the
//! product of VMs and changes. Instead two VMs of each region read, and vouch to the others of their region for what
//! they hold. Nothing is agreed on: a VM that hears no reader for a while reads for itself, VMs later in the order wait
//! longer before they do, and a VM that hears two readers before it in the order stops. A failure of readers, of links
//! or of the store for some VMs only therefore ends with reads by the VMs that it concerns.
//!
//! [`Election`] decides whether a VM reads. [`ChangeLog`] keeps the latest changes for VMs that missed some.
//!
//! ```
//! use mh_relay::{Election, RelayLimits};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut election = Election::new("maine-a-1".into(), RelayLimits::within(Duration::from_secs(3)), now);
//! assert!(election.is_reader(), "a VM that knows no other reads for itself");
//!
//! election.set_vms(["a", "b"].map(|domain| (format!("maine-{domain}-1").as_str().into(), domain.into())), now);
//! assert_eq!(election.followers().count(), 1);
//! ```

mod change_log;
mod election;
mod order;
mod relay_limits;

pub use change_log::ChangeLog;
pub use election::Election;
pub use relay_limits::RelayLimits;
