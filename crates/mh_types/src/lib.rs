//! Names, revisions, result codes and log events that every other crate shares.
//!
//! Names are immutable shared strings, so cloning one on the request path copies a pointer. Every refusal carries a
//! [`Code`], and every log line of the system carries an [`Event`]; both are listed in the docs by number.
//!
//! ```
//! use mh_types::prelude::*;
//!
//! let vm = VmName::from("maine-a-1");
//! assert_eq!(vm.as_str(), "maine-a-1");
//! assert_eq!(Code::KeyUnknown.number(), 1003);
//! assert!(Revision(4) > Revision(3));
//! ```

mod code;
mod event;
mod incarnation;
mod name;
mod revision;
mod run;
mod store_version;

#[doc(hidden)]
pub use log;

pub use code::Code;
pub use event::Event;
pub use incarnation::Incarnation;
pub use name::{
    DomainName, InvalidName, OrgName, RegionName, RouteName, ServerName, ServiceName, ShiftName, TeamName, VersionName,
    VmName,
};
pub use revision::Revision;
pub use run::Run;
pub use store_version::StoreVersion;

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Code, DomainName, Event, Incarnation, OrgName, RegionName, Revision, RouteName, Run, ServerName, ServiceName,
        ShiftName, StoreVersion, TeamName, VersionName, VmName,
    };
}
