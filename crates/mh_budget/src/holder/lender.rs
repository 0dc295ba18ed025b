use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use crate::Share;

/// State of a loan that this VM has received, or asked for, from another VM.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    pub vm: VmName,
    /// Incarnation of the lender that `share` came from.
    pub incarnation: Incarnation,
    /// Number of the last ask.
    pub number: u64,
    pub asked_at: Instant,
    /// Whether the last ask has not been answered yet.
    pub awaits_answer: bool,
    pub share: Share,
    /// When this VM stops using `share`.
    pub expires: Instant,
    /// Time before which the lender is not asked for more.
    pub backoff_until: Instant,
    /// Tokens that the lender reported, in millionths.
    pub level: u64,
    pub level_reported_at: Instant,
}

impl Lender {
    pub fn new(vm: VmName, now: Instant) -> Self {
        Self {
            vm,
            incarnation: Incarnation::default(),
            number: 0,
            asked_at: now,
            awaits_answer: false,
            share: Share::NONE,
            expires: now,
            backoff_until: now,
            level: 0,
            level_reported_at: now,
        }
    }
}
