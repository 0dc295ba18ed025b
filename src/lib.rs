//! Global traffic steering between callers and backend servers.
//!
//! This package holds two binaries, `mangohook` for VMs and `mangohookctl` for operators, and re-exports the
//! workspace's crates under short names. The crates that make decisions do no I/O, so any clock and network can drive
//! them.
//!
//! `mangohook` runs in one of two modes: an entry VM serves routes from settings documents that operators write, and a
//! gateway VM serves routes by host name from a register of backend servers.
//!
//! ```
//! use mangohook::prelude::*;
//!
//! let path = DocPath::parse("/teams/shop/routes/stock")?;
//! assert_eq!(path.name(), "stock");
//! # Ok::<(), Problems>(())
//! ```

pub use mh_budget as budget;
pub use mh_config as config;
pub use mh_ctl as ctl;
pub use mh_edge as edge;
pub use mh_fresh as fresh;
pub use mh_lookup as lookup;
pub use mh_member as member;
pub use mh_node as node;
pub use mh_once as once;
pub use mh_platform as platform;
pub use mh_route as route;
pub use mh_shift as shift;
pub use mh_types as types;

/// The types that most users need.
pub mod prelude {
    pub use mh_config::prelude::*;
    pub use mh_types::prelude::*;
}
