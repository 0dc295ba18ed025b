use std::time::Duration;

use mh_types::{Incarnation, VmName};
use serde::{Deserialize, Serialize};

use crate::{BudgetName, Share};

/// A message of the lending protocol, from one VM's holder of a budget to another's.
///
/// Messages may be lost, delayed, duplicated or reordered: share may then stay unused until a lease ends, but is never
/// used twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Msg {
    /// The budget.
    pub budget: BudgetName,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Content of the message.
    pub body: Body,
}

/// Content of a [`Msg`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a loan, or to keep one.
    Ask(Ask),
    /// Answers a loan request.
    Loan(Loan),
    /// Returns a whole loan.
    Return(Return),
}

/// Request for a loan, or to keep one.
///
/// A loan request also states how much of the lender's share the borrower still uses. The borrower ignores every answer
/// to an earlier one, so the lender may reclaim the rest immediately, even if its last answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the loan request; increases with every message from this incarnation of the borrower.
    pub number: u64,
    /// Incarnation of the lender that `held` and `returned` refer to.
    pub lender: Incarnation,
    /// Share of the lender that the borrower still uses, without what this message returns.
    pub held: Share,
    /// Tokens returned, in millionths.
    pub returned: u64,
    /// Share that covers the borrower's present demand, from all sources together.
    pub need: Share,
    /// Share that covers the borrower's demand with headroom, from all sources together.
    pub want: Share,
    /// Share that the borrower has from other sources.
    pub elsewhere: Share,
    /// Tokens that the borrower holds, in millionths.
    pub level: u64,
}

/// Answers a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Incarnation of the borrower that sent the loan request; any other incarnation must ignore the loan.
    pub borrower: Incarnation,
    /// Number of the loan request.
    pub number: u64,
    /// Total share that the borrower may now use, including what it held before; zero if nothing is lent.
    pub share: Share,
    /// Tokens that come with it, in millionths.
    pub tokens: u64,
    /// Duration of the loan at the lender; the borrower uses a shorter one that starts when it sent the loan request.
    pub lease: Duration,
    /// Tokens that the lender holds, in millionths.
    pub level: u64,
}

/// Returns a whole loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// Number of the message, in one sequence with the loan requests.
    pub number: u64,
    /// Incarnation of the lender that the loan came from.
    pub lender: Incarnation,
    /// Tokens returned, in millionths.
    pub tokens: u64,
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving VM.
    pub to: VmName,
    /// The message.
    pub msg: Msg,
}
