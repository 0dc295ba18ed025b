//! Seeded simulation of several VMs, a fake platform table, a fake backend and retrying callers, with fault injection.
#![allow(dead_code, reason = "each test file and example uses only part of it")]

mod config;
mod fake_table;
mod report;
mod vm;
mod world;

pub use config::{Config, Faults};
pub use report::Report;
pub use world::run;
