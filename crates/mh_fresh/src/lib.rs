//! Freshness of the settings that a VM holds, and acceptance of settings changes by a majority.
//!
//! The settings live in the platform's table, where each change takes the next [`Revision`](mh_types::Revision). The
//! table's *head row* holds the newest revision, and each *log row* holds one change. A VM that can read the table
//! knows the newest revision. A VM that cannot read it must still learn of a withdrawn key within the freshness bound,
//! or refuse keyed requests. A change is therefore *accepted* only when a majority of the roster holds it, and a VM is
//! *current* only while it has recent evidence that nothing newer was accepted.
//!
//! ```
//! use std::time::Duration;
//! use mh_fresh::prelude::*;
//! use mh_types::{Incarnation, Revision};
//! use tokio::time::Instant;
//!
//! let roster = Roster::new(Revision(1), [("a", "maine-1"), ("b", "maine-2")].map(|(v, d)| (v.into(), d.into())));
//! let mut tracker = FreshnessTracker::new("a".into(), Incarnation(7), Duration::from_secs(2), roster.clone());
//! let now = Instant::now();
//! tracker.on_head_read(now, Revision(4));
//! assert!(matches!(tracker.status(now), FreshnessStatus::Behind { .. }));
//! tracker.on_apply(now, Revision(4), Some(roster));
//! assert!(tracker.status(now).is_current());
//! assert!(!tracker.status(now + Duration::from_secs(3)).is_current());
//! ```
//!
//! # Safety argument
//!
//! Claim: a VM that is current at time *t* holds every change accepted before *t* − bound.
//!
//! **Acceptance.** A change is accepted at the first moment at which a majority of the roster holds it simultaneously;
//! while a roster change is not itself accepted, a majority of the previous roster must hold it at that moment too. It
//! is not enough that each member of a majority held it at some time. A process keeps no state across a restart: a VM
//! could hold the change, report it, restart and load older settings from its peers before the last VM of the
//! "majority" receives the change. An attestation therefore states for how long the revision has been held
//! ([`HeldRevisions`]), and [`FreshnessTracker::acceptance`] looks for a moment that the holding intervals of a
//! majority have in common. Each interval comes from a single attestation, and an attestation covers a single
//! incarnation: one run of a process, from its start to its end.
//!
//! **Attestation.** An attestation states: "At this moment I know of no revision above this one." It is true whether or
//! not the VM is current. A process attests only after it has been current by evidence from after its own start. From
//! then on it may always attest, because it forgets nothing while it runs. Evidence from before its start is not
//! enough: the VM may have held a change, restarted, and received attestations that others made before the change was
//! accepted, while its own attestation would look new. The time of the first request that the process sent stands for
//! its start.
//!
//! **Quorum intersection.** Let a change be accepted at *s* by a majority *M*. From *s* on, every member of *M* either
//! knows the change or does not attest. A member that keeps running knows it. A member that restarts does not attest
//! until it has evidence from after its start, hence from after *s*; by the next paragraph that evidence covers the
//! change, so the member knows the change before it attests. A majority of attestations made after *s* therefore
//! includes one that knows the change.
//!
//! **Evidence.** Evidence of time *e* states: every change accepted before *e* is at or below this revision. A read of
//! the head row is evidence of the time at which the read was sent, since accepted changes are committed. Attestations
//! of a majority, all made at *e* or later, are evidence of *e* for the highest revision known, by quorum intersection.
//! Only a VM that holds that revision draws this conclusion: a VM that is behind may have missed roster changes, and a
//! majority of a much older roster need not intersect the majority that accepts today. Evidence stays true once it is
//! derived, so any VM may relay it, as a revision and an age, any number of times; the same holds for attestations and
//! for the fact that a change is accepted.
//!
//! **Roster changes.** Any majorities of two rosters that differ by one member have a common member. The next roster
//! change starts only after the one before it is accepted, in both rosters. Let a VM hold roster *i*, and let a
//! majority of it attest to nothing newer than the VM holds. A change accepted by roster *i* or *i* + 1 would have
//! intersected that majority; and before any change was accepted by a later roster, the change to *i* + 1 was accepted
//! by a majority of roster *i*, so the VM would know of it and be behind. A process may start with any roster that the
//! settings ever had.
//!
//! **Time.** An age counts from when the request was sent, by the receiver's clock, plus the age that the response
//! carried, rounded up. An attestation is made after the request arrived, so delays, pauses on either side, and late or
//! duplicate messages can only make it look older than it is. Unsolicited messages can raise the highest revision known
//! and nothing else. Clocks need not agree, but they must run at the same speed within 200 ppm. Each hop adds a
//! millisecond to an age to cover that drift, holding intervals are shortened, and no interval reaches back further
//! than 10 s. A VM that resumes after a pause compares a newly read clock with the same moments as before.
//!
//! **Assumptions.** The table answers a read with a state no older than the read. At most one process is alive per VM
//! name at a time: a replacement VM takes a new name, because a paused predecessor that resumes beside its successor
//! would attest for the roster membership that the successor holds. The clock advances while a process is paused; a
//! machine that was suspended with its monotonic clock stopped must be treated as restarted.
//!
//! # Components
//!
//! [`FreshnessTracker`] holds the state, [`FreshnessGate`] answers the request path without locks, [`FetchPlanner`]
//! plans requests to peers and the table, and [`ChangeLog`] lets a VM serve changes to its peers.

mod acceptance;
mod attestation;
mod attestation_summary;
mod backoff;
mod bit_set;
mod change_log;
mod fetch_config;
mod fetch_planner;
mod fetch_request;
mod freshness_gate;
mod freshness_status;
mod freshness_tracker;
mod held_revisions;
mod member_index;
mod report;
mod report_error;
mod report_scope;
mod roster;
mod roster_error;
mod split_mix64;
mod wire;

pub use acceptance::Acceptance;
pub use attestation::STEADY_DURATION;
pub use attestation_summary::{AttestationSummary, SummaryGroup};
pub use bit_set::BitSet;
pub use change_log::{ChangeLog, ChangesSince};
pub use fetch_config::FetchConfig;
pub use fetch_planner::FetchPlanner;
pub use fetch_request::{ChangeSource, FetchRequest};
pub use freshness_gate::FreshnessGate;
pub use freshness_status::FreshnessStatus;
pub use freshness_tracker::FreshnessTracker;
pub use held_revisions::HeldRevisions;
pub use report::Report;
pub use report_error::ReportError;
pub use report_scope::ReportScope;
pub use roster::Roster;
pub use roster_error::RosterError;

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Acceptance, ChangeLog, ChangeSource, FetchConfig, FetchPlanner, FetchRequest, FreshnessGate, FreshnessStatus,
        FreshnessTracker, Report, ReportScope, Roster,
    };
}
