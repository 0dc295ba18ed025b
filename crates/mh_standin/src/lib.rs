//! Stand-ins for the systems around mangohook: platform services, backend servers and callers.
//!
//! The servers run on loopback and can inject faults on demand. The crate also starts VM processes. It is for tests and
//! examples only.
//!
//! ```
//! use mh_standin::{Faults, MemoryTable};
//! use mh_platform::{Commit, CommitOutcome, Expect, Write};
//!
//! let table = MemoryTable::default();
//! let commit = Commit::new().with(Write::set("/a", "1", Expect::Absent));
//! assert!(matches!(table.commit(&commit), CommitOutcome::Done { .. }));
//! assert!(matches!(table.commit(&commit), CommitOutcome::Conflict { .. }));
//! # let _ = Faults::default();
//! ```

mod backend;
mod backend_faults;
mod caller;
mod dying_server;
mod faults;
mod memory_table;
mod platform;
mod ports;
mod process;
mod serve;
mod vm_process;

pub use backend::{Backend, ReceivedRequest};
pub use backend_faults::BackendFaults;
pub use caller::{Caller, Reply};
pub use dying_server::DyingServer;
pub use faults::Faults;
pub use memory_table::{MemoryTable, TableCopy};
pub use platform::Platform;
pub use ports::free_addrs;
pub use process::Process;
pub use vm_process::VmProcess;
