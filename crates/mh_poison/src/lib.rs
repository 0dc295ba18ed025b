//! Stops requests that crash the backend servers that run them, over all VMs together.
//!
//! A request may crash every server that begins to run it. Its caller sends it again, at any VM, and each retry takes one
//! more server down with everything that runs there. No VM alone sees enough to tell such a request from those that ran
//! beside it or were hit by a crash of another cause. So each VM reports the requests that it lost in a crash, by
//! [`Fingerprint`], to a few VMs that follow from the fingerprint. One of them that counts three crashes of different
//! servers, without an answer in between, quarantines the fingerprint and tells all VMs. A VM that saw an answer to it
//! since the first crash objects, and the fingerprint is cleared. A quarantine ends by itself; a further crash within a
//! while begins it again, for twice as long.
//!
//! [`CrashGuard`] makes these decisions without I/O. [`AnsweredTable`] remembers recent answers on the request path.
//!
//! ```
//! use mh_poison::{AnsweredTable, CrashGuard, Fingerprint, ServerRun};
//! use tokio::time::Instant;
//!
//! let mut guard = CrashGuard::new("vm-1".into());
//! let request = Fingerprint::of(&[b"GET", b"shop.example", b"/stock/nets", b"coop"]);
//! let now = Instant::now();
//! let answered = AnsweredTable::new(now);
//! for server in ["s1", "s2", "s3"] {
//!     assert!(guard.admit(now, &request).is_ok());
//!     guard.on_crash(now, ServerRun::new(server, 1), &[request], &answered);
//! }
//! assert!(guard.admit(now, &request).is_err());
//! ```

mod answered_table;
mod crash_guard;
mod fingerprint;
mod msg;
mod record;
mod server_run;

pub use answered_table::AnsweredTable;
pub use crash_guard::{CrashGuard, Outbox, Quarantined};
pub use fingerprint::Fingerprint;
pub use msg::{Msg, QuarantineEntry};
pub use server_run::ServerRun;
