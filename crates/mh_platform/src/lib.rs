//! Clients of the platform services: the transactional table, the object store and the VM list.
//!
//! Each service has a small trait, so that tests can substitute a fake. The HTTP clients apply a timeout to every
//! request and limit the requests per second of one VM. A write has one of three outcomes: committed, conflict or
//! unknown.
//! [`commit_with_retries`] resolves an unknown outcome by sending the same conditional write again.
//!
//! The row API of the metadata store that gateways read is covered by `mangohook_platform`, which uses the HTTP client
//! and errors of this crate.
//!
//! ```
//! use mh_platform::{Commit, Expect, Write};
//!
//! let commit = Commit::new().with(Write::set("/system/head", "7", Expect::Version(41)));
//! assert_eq!(commit.writes().len(), 1);
//! ```

mod commit;
mod commit_with_retries;
mod error;
mod http;
mod listed_vm;
mod object_store;
mod rate_limiter;
mod row;
mod table;
mod vm_list;

pub use commit::{Check, Commit, CommitOutcome, Expect, Write};
pub use commit_with_retries::commit_with_retries;
pub use error::PlatformError;
pub use http::{HttpClient, HttpObjectStore, HttpPlatform, HttpResponse, HttpTable, HttpVmList, percent_encode};
pub use listed_vm::{ListedVm, VmListing, VmState};
pub use object_store::ObjectStore;
pub use rate_limiter::RateLimiter;
pub use row::Row;
pub use table::Table;
pub use vm_list::VmList;

/// Result of a request to a platform service.
pub type Result<T> = std::result::Result<T, error_stack::Report<PlatformError>>;

/// Boxed future, which keeps the traits usable as trait objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
