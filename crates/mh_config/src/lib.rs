//! Settings documents, their checks, and the compiled snapshot that the request path reads.
//!
//! Operators write one document for each path; every team owns the subtree `/teams/TEAM`. [`Settings`] holds the
//! documents of one revision and is immutable: applying a [`Change`] returns a new value. [`Snapshot`] is
//! compiled from it for the request path.
//!
//! ```
//! use mh_config::prelude::*;
//! use mh_types::{Code, Revision};
//!
//! let path = DocPath::parse("/teams/shop/organisations/orchard")?;
//! let doc = Doc::from_json(&path, r#"{"rate_per_second": 50.0, "burst": 10}"#)?;
//! let change = Change::set(path, doc);
//! let settings = Settings::default();
//! settings.check(&change)?;
//! let settings = settings.apply(Revision(1), &change);
//! assert_eq!(settings.revision(), Revision(1));
//!
//! let bad = DocPath::parse("/teams/shop/nonsense/x").unwrap_err();
//! assert_eq!(bad.code(), Code::PathInvalid);
//! # Ok::<(), mh_config::Problems>(())
//! ```

mod change;
mod change_row;
mod doc;
mod doc_path;
mod key_hash;
mod problem;
mod route_table;
mod settings;
mod snapshot;

pub use change::Change;
pub use change_row::{ChangeRow, FORMAT};
pub use doc::{
    Access, Doc, DomainSpec, Drain, Execution, Guard, Key, Organisation, Roster, RosterMember, Route, Server, Service,
    Shift, Topology,
};
pub use doc_path::{DocKind, DocPath};
pub use key_hash::{CallerKey, KeyHash};
pub use problem::{Problem, Problems};
pub use route_table::RouteTable;
pub use settings::{Entry, Settings};
pub use snapshot::{
    CompiledDrain, CompiledKey, CompiledOrg, CompiledRoute, CompiledServer, CompiledService, CompiledShift, Snapshot,
};

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Access, CallerKey, Change, Doc, DocKind, DocPath, Execution, Problem, Problems, Settings, Snapshot,
    };
}
