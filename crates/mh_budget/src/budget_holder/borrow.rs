use std::time::Duration;

use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use super::lender::Lender;
use super::{BudgetHolder, Outbox};
use crate::{Ask, Body, Loan, Return, Share, SlotAccess, TokenMove};

/// Maximum number of VMs that one holder borrows from or has requested loans from at a time; bounds its memory.
const MAX_LENDERS: usize = 32;
/// Maximum number of loan requests for more share in one tick; further lenders are asked in the next one.
const MAX_GROWTH_REQUESTS_PER_TICK: usize = 3;
/// Time before a lender that had nothing to lend is asked again.
const LENDER_BACKOFF: Duration = Duration::from_secs(1);
/// Shortest time between two requests for more share to one lender.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// A gap smaller than the wanted share divided by this number is accepted, because it is not worth a message.
const ACCEPTED_GAP_DIVISOR: u64 = 10;

impl BudgetHolder {
    /// Renews loans, returns what is not needed and requests what is missing.
    pub(super) fn borrow(&mut self, now: Instant, out: &mut Outbox) {
        for index in 0..self.lenders.len() {
            if self.is_renewal_due(now, index) {
                self.renew(now, index, out);
            }
        }
        self.request_missing(now, out);
        let retry_timeout = self.settings.retry_timeout;
        self.lenders.retain(|lender| {
            !lender.share.is_empty()
                || now < lender.backoff_until
                || (lender.awaits_answer && now < lender.requested_at + retry_timeout)
        });
        if self.lenders.is_empty() {
            self.lenders.shrink_to_fit();
        }
    }

    pub(super) fn on_loan(&mut self, now: Instant, from: &VmName, incarnation: Incarnation, loan: &Loan) {
        if self.slot_access == SlotAccess::Unlisted || loan.borrower != self.identity.incarnation {
            return;
        }
        let want = self.want();
        let usable = self.usable_share();
        let Some(lender) = self.lenders.iter_mut().find(|lender| lender.vm == *from) else {
            return;
        };
        if !lender.awaits_answer || lender.number != loan.number {
            return;
        }
        lender.awaits_answer = false;
        let lease_ends_at = lender.requested_at + self.settings.borrower_lease_of(loan.lease);
        if now >= lease_ends_at {
            return;
        }
        if loan.share <= lender.share && usable < want {
            lender.backoff_until = now + LENDER_BACKOFF;
        }
        lender.share = loan.share;
        lender.incarnation = incarnation;
        lender.lease_ends_at = lease_ends_at;
        lender.level = loan.level;
        lender.level_reported_at = now;
        self.update_meter(now, TokenMove::Add(loan.tokens));
    }

    pub(super) fn expire_loans(&mut self, now: Instant) -> bool {
        let mut ended = false;
        for lender in &mut self.lenders {
            if !lender.share.is_empty() && now >= lender.lease_ends_at {
                lender.share = Share::EMPTY;
                ended = true;
            }
        }
        ended
    }

    pub(super) fn return_all(&mut self, now: Instant, out: &mut Outbox) {
        for index in 0..self.lenders.len() {
            if !self.lenders[index].share.is_empty() {
                self.return_loan(now, index, out);
            }
        }
        self.lenders = Vec::new();
    }

    fn is_renewal_due(&self, now: Instant, index: usize) -> bool {
        let lender = &self.lenders[index];
        let period = if lender.awaits_answer {
            self.settings.retry_timeout
        } else {
            self.settings.renew_interval
        };
        !lender.share.is_empty() && now >= lender.requested_at + period
    }

    fn renew(&mut self, now: Instant, index: usize, out: &mut Outbox) {
        let share = self.lenders[index].share;
        let surplus = self.usable_share().minus(self.want());
        let keep = share.minus(surplus.whole_tokens());
        if keep < Self::min_loan() {
            self.return_loan(now, index, out);
        } else {
            self.request_loan(now, index, keep, out);
        }
    }

    fn request_missing(&mut self, now: Instant, out: &mut Outbox) {
        let want = self.want();
        let gap = Self::min_loan().max(want.scaled(1, ACCEPTED_GAP_DIVISOR));
        for _ in 0..MAX_GROWTH_REQUESTS_PER_TICK {
            if want.minus(self.usable_share()) < gap {
                return;
            }
            let Some(index) = self.lender_to_ask(now) else {
                return;
            };
            let keep = self.lenders[index].share;
            self.request_loan(now, index, keep, out);
        }
    }

    /// Index of a lender that may have more to lend: one that already lends, or else the next in the list of owners.
    fn lender_to_ask(&mut self, now: Instant) -> Option<usize> {
        let may_lend_more = |lender: &Lender| {
            !lender.share.is_empty()
                && !lender.awaits_answer
                && now >= lender.backoff_until
                && now >= lender.requested_at + MIN_REQUEST_INTERVAL
        };
        if let Some(index) = self.lenders.iter().position(may_lend_more) {
            return Some(index);
        }
        if self.lenders.len() >= MAX_LENDERS {
            return None;
        }
        let is_new = |vm: &VmName| *vm != self.identity.vm && self.lenders.iter().all(|lender| lender.vm != *vm);
        let index = self
            .owners
            .next_preferring_domain(self.loan_request_cursor, &self.identity.domain, is_new)?;
        let vm = self.owners.vm(index)?.clone();
        self.loan_request_cursor = index + 1;
        self.lenders.push(Lender::new(vm, now));
        Some(self.lenders.len() - 1)
    }

    /// Sends a loan request that keeps `keep` of the loan and returns the rest.
    fn request_loan(&mut self, now: Instant, index: usize, keep: Share, out: &mut Outbox) {
        let returned = self.reduce_loan(now, index, keep);
        let elsewhere = self.usable_share().minus(keep);
        let (need, want) = (self.need(), self.want());
        let number = self.next_number();
        let backoff_until = now + self.settings.retry_timeout + LENDER_BACKOFF;
        let lender = &mut self.lenders[index];
        lender.number = number;
        lender.requested_at = now;
        lender.awaits_answer = true;
        if lender.share.is_empty() {
            // A lender that does not answer gets the same backoff as one that has nothing to lend.
            lender.backoff_until = backoff_until;
        }
        let lender = lender.incarnation;
        let level = self.limiter.meter().level_microtokens(now);
        let ask = Ask {
            number,
            lender,
            held: keep,
            returned,
            need,
            want,
            elsewhere,
            level,
        };
        out.push(self.outgoing(&self.lenders[index].vm, Body::Ask(ask)));
        self.stats.loan_requests_sent += 1;
    }

    fn return_loan(&mut self, now: Instant, index: usize, out: &mut Outbox) {
        let tokens = self.reduce_loan(now, index, Share::EMPTY);
        let number = self.next_number();
        let lender = &mut self.lenders[index];
        lender.number = number;
        lender.awaits_answer = false;
        let ret = Return {
            number,
            lender: lender.incarnation,
            tokens,
        };
        out.push(self.outgoing(&self.lenders[index].vm, Body::Return(ret)));
        self.stats.loans_returned += 1;
    }

    /// Reduces a loan to `keep`; returns the tokens removed from the meter with the rest, in millionths.
    fn reduce_loan(&mut self, now: Instant, index: usize, keep: Share) -> u64 {
        let given = self.lenders[index].share.minus(keep);
        if given.is_empty() {
            return 0;
        }
        let usable = self.usable_share();
        self.lenders[index].share = keep;
        self.update_meter(
            now,
            TokenMove::Remove {
                numerator: given.0,
                denominator: usable.0,
            },
        )
    }
}
