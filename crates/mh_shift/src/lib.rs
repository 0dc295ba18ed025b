//! Version shifts: moving a service's requests from an old back-end version to a new one by a deadline, or back.
//!
//! Each VM counts which of its requests may go to the new version ([`Share`]), so the limit holds for any interval and
//! any number of VMs. It compares both versions at the same time and in the same failure domain, and exchanges the
//! result with the other VMs ([`Evidence`]). Any VM may propose the next step; steps and the one terminal state are
//! conditional table writes ([`Write`], [`Terminal`]). A VM that hears of a fault, loses contact with the majority of
//! the failure domains, or does not know of an end when the deadline is near, uses the old version.
//!
//! The crate does no I/O and reads no clock.
//!
//! ```
//! use mh_shift::prelude::*;
//! use mh_types::prelude::*;
//! use tokio::time::Instant;
//!
//! let spec = ShiftSpec {
//!     name: ShiftName::from("nets/stock-v2"),
//!     service: ServiceName::from("nets/stock"),
//!     from: VersionName::from("v1"),
//!     to: VersionName::from("v2"),
//!     cap: Fraction::from_millionths(500_000),
//!     deadline: "2026-12-04T18:00:00Z".parse()?,
//!     guard: Guard::default(),
//!     steps: ShiftSpec::default_steps(),
//! };
//! let place = Place {
//!     vm: VmName::from("maine-a-1"),
//!     incarnation: Incarnation(1),
//!     domain: DomainName::from("maine-a"),
//!     rank: 0,
//!     routes: vec![RouteName::from("nets/stock")],
//!     domains: vec![DomainName::from("maine-a")],
//! };
//! let now = Instant::now();
//! let mut shift = Shift::new(now, spec, Settings::default(), place)?;
//!
//! // Before the first step every request goes to the old version.
//! assert_eq!(shift.pick(now, &RouteName::from("nets/stock")), Side::Old);
//! let wall = "2026-12-04T17:00:00Z".parse()?;
//! assert_eq!(shift.step(now, wall), Decision::StepTo(Fraction::from_millionths(10_000)));
//! assert_eq!(shift.writes(now, wall).len(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod alarm;
mod canary;
mod cell;
mod contact;
mod decision;
mod end;
mod end_row;
mod evidence;
mod fault;
mod fault_kind;
mod fraction;
mod gate;
mod guard;
mod ledger;
mod limits;
mod odds;
mod outcome;
mod place;
mod pool;
mod reason;
mod rows;
mod sample;
mod scores;
mod settings;
mod share;
mod shift;
mod side;
mod spec;
mod spec_error;
mod stage;
mod step_row;
mod tally;
mod terminal;
mod turn;
mod write;
mod write_id;
mod writer;

pub use canary::{Canary, CanaryFault, CanaryLimits, CanarySample, Verdict};
pub use decision::Decision;
pub use end::End;
pub use end_row::EndRow;
pub use evidence::Evidence;
pub use fault::Fault;
pub use fault_kind::FaultKind;
pub use fraction::Fraction;
pub use gate::Gate;
pub use guard::Guard;
pub use outcome::Outcome;
pub use place::Place;
pub use reason::Reason;
pub use rows::Rows;
pub use sample::Sample;
pub use scores::Scores;
pub use settings::Settings;
pub use share::Share;
pub use shift::Shift;
pub use side::Side;
pub use spec::ShiftSpec;
pub use spec_error::SpecError;
pub use stage::{Done, Finishing, Planned, Running, Stage, State, TakenBack};
pub use step_row::StepRow;
pub use terminal::Terminal;
pub use write::{Change, Write};
pub use write_id::WriteId;

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Decision, End, EndRow, Evidence, Fault, Fraction, Guard, Outcome, Place, Reason, Rows, Sample, Settings, Shift,
        ShiftSpec, Side, State, Write, WriteId,
    };
}
