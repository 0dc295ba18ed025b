use std::time::Duration;

use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use super::lender::Lender;
use super::{Holder, Outbox};
use crate::{Ask, Body, Loan, Return, Share, Standing, TokenMove};

/// Maximum number of VMs that one holder borrows from or has asked at a time; bounds its memory.
const MAX_LENDERS: usize = 32;
/// Maximum number of asks for more share in one tick; further lenders are asked in the next one.
const MAX_GROWTH_ASKS_PER_TICK: usize = 3;
/// Time before a lender that had nothing to lend is asked again.
const LENDER_BACKOFF: Duration = Duration::from_secs(1);
/// Shortest time between two asks for more from one lender.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(200);
/// A gap smaller than the wanted share divided by this number is accepted, because it is not worth a message.
const ACCEPTED_GAP_DIVISOR: u64 = 10;

impl Holder {
    /// Renews loans, returns what is not needed and asks for what is missing.
    pub(super) fn borrow(&mut self, now: Instant, out: &mut Outbox) {
        for index in 0..self.lenders.len() {
            if self.is_renewal_due(now, index) {
                self.renew(now, index, out);
            }
        }
        self.ask_for_missing(now, out);
        let retry = self.settings.retry;
        self.lenders.retain(|lender| {
            !lender.share.is_none()
                || now < lender.backoff_until
                || (lender.awaits_answer && now < lender.asked_at + retry)
        });
        if self.lenders.is_empty() {
            self.lenders.shrink_to_fit();
        }
    }

    pub(super) fn on_loan(&mut self, now: Instant, from: &VmName, incarnation: Incarnation, loan: &Loan) {
        if self.standing == Standing::Unlisted || loan.borrower != self.identity.incarnation {
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
        let expires = lender.asked_at + self.settings.borrower_lease_of(loan.lease);
        if now >= expires {
            return;
        }
        if loan.share <= lender.share && usable < want {
            lender.backoff_until = now + LENDER_BACKOFF;
        }
        lender.share = loan.share;
        lender.incarnation = incarnation;
        lender.expires = expires;
        lender.level = loan.level;
        lender.level_reported_at = now;
        self.update_meter(now, TokenMove::Add(loan.tokens));
    }

    pub(super) fn expire_loans(&mut self, now: Instant) -> bool {
        let mut ended = false;
        for lender in &mut self.lenders {
            if !lender.share.is_none() && now >= lender.expires {
                lender.share = Share::NONE;
                ended = true;
            }
        }
        ended
    }

    pub(super) fn return_all(&mut self, now: Instant, out: &mut Outbox) {
        for index in 0..self.lenders.len() {
            if !self.lenders[index].share.is_none() {
                self.return_loan(now, index, out);
            }
        }
        self.lenders = Vec::new();
    }

    fn is_renewal_due(&self, now: Instant, index: usize) -> bool {
        let lender = &self.lenders[index];
        let period = if lender.awaits_answer {
            self.settings.retry
        } else {
            self.settings.renew
        };
        !lender.share.is_none() && now >= lender.asked_at + period
    }

    fn renew(&mut self, now: Instant, index: usize, out: &mut Outbox) {
        let share = self.lenders[index].share;
        let surplus = self.usable_share().minus(self.want());
        let keep = share.minus(surplus.whole_tokens());
        if keep < Self::min_loan() {
            self.return_loan(now, index, out);
        } else {
            self.ask(now, index, keep, out);
        }
    }

    fn ask_for_missing(&mut self, now: Instant, out: &mut Outbox) {
        let want = self.want();
        let gap = Self::min_loan().max(want.scaled(1, ACCEPTED_GAP_DIVISOR));
        for _ in 0..MAX_GROWTH_ASKS_PER_TICK {
            if want.minus(self.usable_share()) < gap {
                return;
            }
            let Some(index) = self.lender_to_ask(now) else {
                return;
            };
            let keep = self.lenders[index].share;
            self.ask(now, index, keep, out);
        }
    }

    /// Index of a lender that may have more to lend: one that already lends, or else the next in the list of owners.
    fn lender_to_ask(&mut self, now: Instant) -> Option<usize> {
        let may_lend_more = |lender: &Lender| {
            !lender.share.is_none()
                && !lender.awaits_answer
                && now >= lender.backoff_until
                && now >= lender.asked_at + MIN_ASK_INTERVAL
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
            .next_preferring_domain(self.ask_cursor, &self.identity.domain, is_new)?;
        let vm = self.owners.vm(index)?.clone();
        self.ask_cursor = index + 1;
        self.lenders.push(Lender::new(vm, now));
        Some(self.lenders.len() - 1)
    }

    /// Sends an ask that keeps `keep` of the loan and returns the rest.
    fn ask(&mut self, now: Instant, index: usize, keep: Share, out: &mut Outbox) {
        let returned = self.reduce_loan(now, index, keep);
        let elsewhere = self.usable_share().minus(keep);
        let (need, want) = (self.need(), self.want());
        let number = self.next_number();
        let backoff_until = now + self.settings.retry + LENDER_BACKOFF;
        let lender = &mut self.lenders[index];
        lender.number = number;
        lender.asked_at = now;
        lender.awaits_answer = true;
        if lender.share.is_none() {
            // A lender that does not answer gets the same backoff as one that has nothing to lend.
            lender.backoff_until = backoff_until;
        }
        let lender = lender.incarnation;
        let level = self.limiter.meter().level_micros(now);
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
        self.stats.asks_sent += 1;
    }

    fn return_loan(&mut self, now: Instant, index: usize, out: &mut Outbox) {
        let tokens = self.reduce_loan(now, index, Share::NONE);
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
        if given.is_none() {
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
