//! Paths to backend servers: a VM that cannot reach any server itself uses tunnels through other VMs.
//!
//! A VM can lose its links to all backend servers while callers and other VMs still reach it. [`Reachability`] tells
//! that case from servers that are down: a failed connection starts a check, in which a few servers are contacted at the
//! same time, and only if none of them can be reached is the VM cut off. While it is, checks go on, so that it uses its
//! own links again as soon as they work. [`TunnelVms`] chooses the other VMs through which connections are opened meanwhile.
//!
//! The crate does no I/O; the caller opens the connections and reports what became of them.
//!
//! ```
//! use std::time::Duration;
//!
//! use mh_path::{CheckResult, Reachability};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut reachability = Reachability::default();
//! assert!(reachability.start_check(now));
//! let changed = reachability.on_check(now, CheckResult { reached: 0, failed: 3 });
//! assert!(changed && reachability.is_cut_off());
//!
//! let later = now + Duration::from_secs(1);
//! assert!(reachability.start_check(later));
//! assert!(reachability.on_check(later, CheckResult { reached: 1, failed: 0 }));
//! assert!(!reachability.is_cut_off());
//! ```

mod reachability;
mod tunnel_vm;
mod tunnel_vms;

pub use reachability::{CheckResult, Reachability};
pub use tunnel_vm::TunnelVm;
pub use tunnel_vms::{MAX_TUNNEL_VMS, TunnelVms};
