//! Look-ups: selection of the entry VMs that a caller uses.
//!
//! A [`Table`] is an immutable snapshot, so look-ups need no lock. It maps the address block of the caller to sites
//! ordered by distance and selects VMs of these sites by weighted rendezvous hashing, so that the loss of a VM moves
//! only its own callers. VMs that are leaving or have failed are excluded. Look-ups within the last lifetime count as
//! load of their first choice. A change creates a new table that shares the unchanged parts.
//!
//! ```
//! use std::time::Duration;
//!
//! use mh_lookup::prelude::*;
//!
//! let vm = |name: &str, site| VmSpec {
//!     name: name.into(),
//!     addr: "127.0.0.1:8080".parse().expect("a literal address"),
//!     site: SiteId(site),
//!     weight: 1,
//!     state: VmAvailability::Serving,
//!     headroom: u32::MAX,
//! };
//! let spec = TableSpec {
//!     lifetime: Duration::from_secs(30),
//!     vms: vec![vm("maine-a-1", 0), vm("vermont-a-1", 1)],
//!     rankings: vec![vec![SiteId(0), SiteId(1)], vec![SiteId(1), SiteId(0)]],
//!     blocks: vec![("10.2.0.0/16".parse().expect("a literal block"), RankingId(1))],
//!     homes: Vec::new(),
//! };
//! let table = Table::build(spec)?;
//!
//! let choices = table.find("10.2.3.4".parse().expect("a literal address"), None, 7);
//! assert_eq!(choices[0].vm.name.as_str(), "vermont-a-1");
//! # Ok::<(), mh_lookup::TableError>(())
//! ```

mod block;
mod change;
mod choice;
mod chunk;
mod key;
mod prefix_map;
mod rendezvous;
mod site;
mod sites;
mod table;
mod table_error;
mod table_spec;
mod vm;
mod vm_spec;
mod window_counter;
pub mod zonal;

pub use block::{Block, InvalidBlock};
pub use change::Change;
pub use choice::Choice;
pub use site::{RankingId, SiteId};
pub use table::Table;
pub use table_error::TableError;
pub use table_spec::TableSpec;
pub use vm_spec::{VmAvailability, VmSpec};

/// The types that most callers need.
pub mod prelude {
    pub use crate::{Block, Change, Choice, RankingId, SiteId, Table, TableError, TableSpec, VmAvailability, VmSpec};
}
