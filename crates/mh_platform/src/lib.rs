//! Clients of the platform: the transactional table, the object store and the list of VMs.
//!
//! Each service stands behind a small trait, so that tests put a fake in its place. The HTTP clients bound every
//! request in time, and bound the requests a second that one VM makes. A write has one of three outcomes: committed,
//! conflict or unknown; an unknown one is resolved by [`resolve`], which sends the same conditional write again.
//!
//! ```
//! use mh_platform::{Commit, Expect, Write};
//!
//! let commit = Commit::new().with(Write::set("/system/head", "7", Expect::Version(41)));
//! assert_eq!(commit.writes().len(), 1);
//! ```

mod commit;
mod error;
mod http;
mod listed_vm;
mod objects;
mod pace;
mod resolve;
mod row;
mod table;
mod vm_list;

pub use commit::{Check, Commit, Committed, Expect, Write};
pub use error::PlatformError;
pub use http::{HttpAnswer, HttpClient, HttpObjects, HttpPlatform, HttpTable, HttpVmList, encode};
pub use listed_vm::{ListedVm, VmListing, VmState};
pub use objects::Objects;
pub use pace::Pace;
pub use resolve::resolve;
pub use row::Row;
pub use table::Table;
pub use vm_list::VmList;

/// The result of a request to the platform.
pub type Result<T> = std::result::Result<T, error_stack::Report<PlatformError>>;

/// A boxed future, so that the traits can be used as trait objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
