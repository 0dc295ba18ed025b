//! Version shifts: moves a service's requests from an old backend version to a new one by a deadline, or takes
//! the shift back.
//!
//! Each VM limits its own requests to the new version ([`ShareLimiter`]), so the limit holds for any interval and any
//! number of VMs. It compares both versions at the same time and in the same failure domain, and exchanges the result
//! with the other VMs ([`Evidence`]). Any VM may propose the next step; steps and the single terminal state are
//! conditional table writes ([`Write`], [`TerminalProposer`]). A VM uses the old version when it learns of a fault,
//! loses contact with the majority of the failure domains, or knows of no terminal state when the deadline is near.
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
//! let context = VmContext {
//!     vm: VmName::from("maine-a-1"),
//!     incarnation: Incarnation(1),
//!     domain: DomainName::from("maine-a"),
//!     rank: 0,
//!     routes: vec![RouteName::from("nets/stock")],
//!     domains: vec![DomainName::from("maine-a")],
//! };
//! let now = Instant::now();
//! let mut shift = Shift::new(now, spec, Settings::default(), context)?;
//!
//! // Before the first step every request goes to the old version.
//! assert_eq!(shift.pick(now, &RouteName::from("nets/stock")), Side::Old);
//! let wall = "2026-12-04T17:00:00Z".parse()?;
//! assert_eq!(shift.evaluate(now, wall), Decision::StepTo(Fraction::from_millionths(10_000)));
//! assert_eq!(shift.writes(now, wall).len(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod canary;
mod decision;
mod end_row;
mod evidence;
mod fault;
mod fault_kind;
mod fleet_evidence;
mod fraction;
mod guard;
mod likelihood_ratio;
mod local_evidence;
mod majority_lease;
mod request_counts;
mod route_counters;
mod route_credit;
mod row_writer;
mod rows;
mod sample;
mod scores;
mod sequential_test;
mod settings;
mod share_limiter;
mod shift;
mod side;
mod spec;
mod spec_error;
mod stage;
mod step_row;
mod take_back_reason;
mod terminal_proposer;
mod terminal_state;
mod test_parameters;
mod version_selector;
mod vm_context;
mod write;
mod write_id;
mod write_outcome;

pub use canary::{Canary, CanaryFault, CanarySample, CanaryThresholds, Verdict};
pub use decision::Decision;
pub use end_row::EndRow;
pub use evidence::Evidence;
pub use fault::Fault;
pub use fault_kind::FaultKind;
pub use fraction::Fraction;
pub use guard::Guard;
pub use rows::Rows;
pub use sample::Sample;
pub use scores::Scores;
pub use settings::Settings;
pub use share_limiter::ShareLimiter;
pub use shift::Shift;
pub use side::Side;
pub use spec::ShiftSpec;
pub use spec_error::SpecError;
pub use stage::{Done, Finishing, Planned, Running, Stage, State, TakenBack};
pub use step_row::StepRow;
pub use take_back_reason::TakeBackReason;
pub use terminal_proposer::TerminalProposer;
pub use terminal_state::TerminalState;
pub use version_selector::VersionSelector;
pub use vm_context::VmContext;
pub use write::{Change, Write};
pub use write_id::WriteId;
pub use write_outcome::WriteOutcome;

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Decision, EndRow, Evidence, Fault, Fraction, Guard, Rows, Sample, Settings, Shift, ShiftSpec, Side, State,
        TakeBackReason, TerminalState, VmContext, Write, WriteId, WriteOutcome,
    };
}
