//! The VM process: its settings file, control loops and shutdown.
//!
//! [`VmSettings`] is read from YAML; all its errors are reported together. [`Node`] opens the ports and starts the
//! loops that update the edge's state: settings from the table, the list of VMs, and heartbeats between VMs.
//!
//! ```
//! use mh_node::VmSettings;
//!
//! let errors = VmSettings::parse("vm.yaml", "vm: maine-a-1\nspeed: 3\n").unwrap_err();
//! assert!(errors.to_string().contains("vm.yaml:2"));
//! ```

mod absence_tracker;
mod admin;
mod allowances;
mod catch_up;
mod claims;
mod crash_reports;
mod deferred_loop;
mod edge_links;
mod exit;
mod freshness;
mod freshness_loop;
mod heartbeat;
mod lending;
mod limit_settings;
mod local_settings;
mod node;
mod peer_handler;
mod peers;
mod publish;
mod roster_loop;
mod settings_commit;
mod settings_store;
mod shifts;
mod shutdown;
mod vm_list_loop;
mod vm_settings;

pub use exit::Exit;
pub use limit_settings::LimitSettings;
pub use node::Node;
pub use shutdown::run_until_signal;
pub use vm_settings::{FreshnessPolicy, Listen, PlatformSettings, ShutdownSettings, VmSettings};
