//! Counts the requests that backend servers began, by organisation and time window, and decides which VM reports them.
//!
//! Each VM counts in a [`UsageCounter`] and sends its counts to the VM that holds the duty. The holder merges them in a
//! [`Collector`]. [`DutyHolder`] is the life cycle of the duty: it decides when a VM may claim it, which windows the
//! holder records in the store, and when it calls the platform. The crate does no I/O and reads no clock; see
//! `docs/design/usage-reports.md`.
//!
//! ```
//! use std::time::Duration;
//! use mh_usage::{Params, UsageCounter};
//!
//! let mut counter = UsageCounter::new(mh_types::Incarnation(1), Params::default());
//! let begun = counter.begin(Duration::from_secs(12), &"cuka620".into());
//! counter.settle(&begun, true);
//! assert_eq!(begun.window, 2);
//! ```

mod collector;
mod counter;
mod duty;
mod duty_row;
mod holding;
mod msg;
mod params;
mod reports;
mod wall_clock;

pub use collector::Collector;
pub use counter::{Begun, UsageCounter};
pub use duty::{Claiming, Duty, DutyHolder, Fleet, Waiting};
pub use duty_row::{DutyRow, StoredUsage, Token, WindowRecord};
pub use holding::Holding;
pub use msg::{Ack, Counts, Msg};
pub use params::Params;
pub use reports::{CallOutcome, Reports};
pub use wall_clock::WallClock;
