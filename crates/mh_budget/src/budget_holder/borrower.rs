use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use crate::fair_shares::Claim;
use crate::{Ask, Share};

/// State of a loan that this VM has granted to one incarnation of another VM.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    pub vm: VmName,
    pub incarnation: Incarnation,
    /// Number of the borrower's last message that was processed.
    pub number: u64,
    /// Upper bound on the share that the borrower uses.
    pub share: Share,
    /// When the lease ends; the borrower has stopped using the share by then.
    pub lease_ends_at: Instant,
    pub claim: Claim,
    /// Tokens that the borrower reported, in millionths.
    pub level: u64,
    pub level_reported_at: Instant,
}

impl Borrower {
    pub fn new(vm: VmName, incarnation: Incarnation, now: Instant) -> Self {
        let claim = Claim {
            base: Share::EMPTY,
            need: Share::EMPTY,
            want: Share::EMPTY,
        };
        Self {
            vm,
            incarnation,
            number: 0,
            share: Share::EMPTY,
            lease_ends_at: now,
            claim,
            level: 0,
            level_reported_at: now,
        }
    }

    pub fn record_loan_request(&mut self, now: Instant, ask: &Ask) {
        self.number = ask.number;
        self.claim = Claim {
            base: ask.elsewhere,
            need: ask.need,
            want: ask.want,
        };
        self.level = ask.level;
        self.level_reported_at = now;
    }
}
