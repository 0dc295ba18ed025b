//! Command-line tool for operators, which reads and writes settings through any VM's admin port.
//!
//! Most commands send one or a few admin requests and print a table, JSON or YAML; `explain` reads log files instead.
//!
//! ```
//! use clap::Parser;
//! use mh_ctl::Cli;
//!
//! let cli = Cli::try_parse_from(["mangohookctl", "--admin", "127.0.0.1:7300", "list", "/teams/shop"])?;
//! assert_eq!(cli.admin.len(), 1);
//! # Ok::<(), clap::Error>(())
//! ```

mod cli;
mod client;
mod command;
mod ctl_error;
mod log_line;
mod output;
mod run;

pub use cli::{Cli, Command, DrainCommand, KeyCommand, OutputFormat, ShiftCommand};
pub use client::Client;
pub use ctl_error::CtlError;
pub use run::run;
