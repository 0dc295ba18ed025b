//! Distributed rate limiting: many VMs enforce one limit together without a message for every request.
//!
//! A [`Budget`] is a token bucket for the whole system. It is divided into slots ([`Division`]), each VM owns some of
//! them, and a VM that needs more borrows unused share from others for a short lease ([`BudgetHolder`]). A [`Share`] is
//! the same fraction of the rate and of the burst. Shares are integers, tokens are only generated in a [`Meter`] at the
//! rate of the share that it uses, and the shares in use never add up to more than the whole budget. So over any
//! interval `t` all VMs together admit at most `burst + rate * t`.
//!
//! The request path uses a [`Limiter`], which is lock-free and returns a [`Decision`] for each request: admit it,
//! refuse it, or ask another VM to decide. A VM asks another one when the budget is too small to divide, or when its
//! own tokens are used up and another VM may have some.
//!
//! Who owns a slot is recorded by the caller, or follows from a list of VMs; VMs with different lists then agree by a
//! [`Handover`] before a slot gets another owner.
//!
//! The crate does no I/O and reads no clock: the caller passes `now`, sends the messages that a holder returns, and
//! reads and writes the table rows that record which VM owns a slot.
//!
//! ```
//! use std::sync::Arc;
//!
//! use mh_budget::prelude::*;
//! use mh_types::Incarnation;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let identity =
//!     Arc::new(VmIdentity { vm: "maine-a-1".into(), domain: "maine-a".into(), incarnation: Incarnation(1) });
//! let budget = Arc::new(Budget::new("org/nets/coop".into(), 100.0, 40.0)?);
//! let mut holder = BudgetHolder::new(now, identity, budget, Arc::new(LendingSettings::default()), 1, 0);
//! let all: Slots = holder.division().slots_of_domain(0).collect();
//! holder.adopt_slots(now, now, &all, Adoption::New);
//! holder.on_tick(now);
//! let limiter = holder.limiter().clone();
//! assert_eq!(limiter.decide(|| now, 39), Decision::Admit);
//! assert!(matches!(limiter.decide(|| now, 2), Decision::Refuse { .. }));
//! # Ok::<(), mh_types::Code>(())
//! ```

mod adoption;
mod answer;
mod budget;
mod budget_holder;
mod budget_holder_stats;
mod budget_name;
mod decision;
mod demand;
mod division;
mod fair_shares;
mod fallback;
mod handover;
mod handover_msg;
mod limiter;
mod meter;
mod msg;
mod owners;
mod settings;
mod share;
mod slot_access;
mod slots;

pub use adoption::Adoption;
pub use answer::Answer;
pub use budget::{Budget, MICROTOKENS_PER_TOKEN};
pub use budget_holder::{BudgetHolder, Outbox, VmIdentity};
pub use budget_holder_stats::BudgetHolderStats;
pub use budget_name::BudgetName;
pub use decision::Decision;
pub use division::{Division, MAX_SLOTS_PER_DOMAIN, MIN_SLOT_BURST_TOKENS};
pub use fair_shares::{Claim, fair_shares};
pub use handover::{EarlierUse, Handover, StageNumber};
pub use handover_msg::HandoverMsg;
pub use limiter::{Limiter, MAX_PEER_ASKS};
pub use meter::{Allowance, Meter, MeterWriter, TokenMove, TokenMoveResult};
pub use msg::{Ask, Body, Loan, Msg, Outgoing, Return};
pub use owners::{Owner, Owners};
pub use settings::LendingSettings;
pub use share::Share;
pub use slot_access::SlotAccess;
pub use slots::Slots;

/// The types that most callers need.
pub mod prelude {
    pub use crate::{
        Adoption, Answer, Budget, BudgetHolder, BudgetName, Decision, Division, LendingSettings, Limiter, Msg,
        Outgoing, Owner, Owners, Share, SlotAccess, Slots, VmIdentity,
    };
}
