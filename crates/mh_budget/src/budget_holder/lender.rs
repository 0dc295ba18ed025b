use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use crate::Share;

/// State of a loan that this VM has received, or requested, from another VM.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    pub vm: VmName,
    /// Incarnation of the lender that `share` came from.
    pub incarnation: Incarnation,
    /// Number of the last loan request.
    pub number: u64,
    pub requested_at: Instant,
    /// Whether the last loan request has not been answered yet.
    pub awaits_answer: bool,
    pub share: Share,
    /// When this VM stops using `share`.
    pub lease_ends_at: Instant,
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
            requested_at: now,
            awaits_answer: false,
            share: Share::EMPTY,
            lease_ends_at: now,
            backoff_until: now,
            level: 0,
            level_reported_at: now,
        }
    }
}
