use mh_types::{Incarnation, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::borrower::Borrower;
use super::{BudgetHolder, Outbox};
use crate::fair_shares::{Claim, fair_shares};
use crate::{Ask, Body, Loan, Return, Share, SlotAccess, TokenMove};

/// Maximum number of VMs that one holder lends to at a time; bounds its memory and the time to answer a loan request.
const MAX_BORROWERS: usize = 64;

impl BudgetHolder {
    pub(super) fn on_loan_request(
        &mut self,
        now: Instant,
        from: &VmName,
        incarnation: Incarnation,
        ask: &Ask,
        out: &mut Outbox,
    ) {
        let Some(index) = self.borrower_index(now, from, incarnation) else {
            out.push(self.answer(now, from, incarnation, (ask.number, Share::EMPTY, 0)));
            return;
        };
        if ask.number <= self.borrowers[index].number {
            return;
        }
        // Loans of an earlier process of this VM, and their tokens, have ended during the takeover wait.
        let (held, returned) = if ask.lender == self.identity.incarnation {
            (ask.held, ask.returned)
        } else {
            (Share::EMPTY, 0)
        };
        self.reclaim(now, index, held, returned);
        self.borrowers[index].record_loan_request(now, ask);
        let held = self.borrowers[index].share;
        let granted = self.entitlement(index);
        // A loan changes by whole tokens, so that no VM is left with a fraction of a token, which admits nothing.
        let granted = if granted > held {
            held + granted.minus(held).whole_tokens()
        } else {
            held.minus(held.minus(granted).whole_tokens())
        };
        let mut tokens = 0;
        if granted > held {
            let added = granted.minus(held);
            let usable = self.usable_share();
            self.borrowers[index].share = granted;
            let part = TokenMove::Remove {
                numerator: added.0,
                denominator: usable.0,
            };
            tokens = self.update_meter(now, part);
        }
        self.borrowers[index].lease_ends_at = now + self.settings.lease;
        self.stats.loan_requests_answered += 1;
        out.push(self.answer(now, from, incarnation, (ask.number, granted, tokens)));
    }

    pub(super) fn on_return(&mut self, now: Instant, from: &VmName, incarnation: Incarnation, ret: Return) {
        let found = self
            .borrowers
            .iter()
            .position(|borrower| borrower.vm == *from && borrower.incarnation == incarnation);
        if let Some(index) = found
            && ret.lender == self.identity.incarnation
            && ret.number > self.borrowers[index].number
        {
            self.reclaim(now, index, Share::EMPTY, ret.tokens);
            // The empty record stays until its lease ends, so that an older loan request that arrives later is ignored.
            self.borrowers[index].number = ret.number;
            self.borrowers[index].claim = Claim {
                base: Share::EMPTY,
                need: Share::EMPTY,
                want: Share::EMPTY,
            };
        }
    }

    pub(super) fn expire_borrowers(&mut self, now: Instant) -> bool {
        let before = self.borrowers.len();
        let stats = &mut self.stats;
        self.borrowers.retain(|borrower| {
            let is_running = now < borrower.lease_ends_at;
            stats.loans_expired += u64::from(!is_running && !borrower.share.is_empty());
            is_running
        });
        if self.borrowers.is_empty() {
            self.borrowers.shrink_to_fit();
        }
        self.borrowers.len() != before
    }

    /// Index of a borrower's record; adds one if there is space and this VM has share to lend.
    fn borrower_index(&mut self, now: Instant, vm: &VmName, incarnation: Incarnation) -> Option<usize> {
        let found = self
            .borrowers
            .iter()
            .position(|borrower| borrower.vm == *vm && borrower.incarnation == incarnation);
        if found.is_some() {
            return found;
        }
        let outdated = self
            .borrowers
            .iter()
            .any(|borrower| borrower.vm == *vm && borrower.incarnation > incarnation);
        let can_lend = self.slot_access == SlotAccess::Listed && !self.kept_share().is_empty();
        if outdated || !can_lend || self.borrowers.len() >= MAX_BORROWERS {
            return None;
        }
        self.borrowers.push(Borrower::new(vm.clone(), incarnation, now));
        Some(self.borrowers.len() - 1)
    }

    /// Reduces a loan to the share that the borrower reports as still in use.
    ///
    /// Returned tokens count only up to the burst that is reclaimed. Without that limit, tokens that arrive after the
    /// lease has ended would be added to a share that has already been refilled.
    fn reclaim(&mut self, now: Instant, index: usize, held: Share, tokens: u64) {
        let before = self.borrowers[index].share;
        let after = before.min(held);
        if after < before {
            self.borrowers[index].share = after;
            let reclaimed_burst = before.minus(after).0;
            self.update_meter(now, TokenMove::Add(tokens.min(reclaimed_burst)));
        }
    }

    /// Total share that this VM may lend to the borrower: its fair share, limited to what is not lent to others now.
    fn entitlement(&self, index: usize) -> Share {
        let supply = if self.slot_access == SlotAccess::Listed {
            self.kept_share()
        } else {
            Share::EMPTY
        };
        let own = Claim {
            base: self.borrowed_share(),
            need: self.need(),
            want: self.want(),
        };
        let claims: SmallVec<[Claim; 8]> = std::iter::once(own)
            .chain(self.borrowers.iter().map(|borrower| borrower.claim))
            .collect();
        let parts = fair_shares(supply, &claims);
        let held = self.borrowers[index].share;
        let others = self.lent_share().minus(held);
        let free = supply.minus(others).minus(parts[0]);
        parts[index + 1].min(free.max(held))
    }

    fn answer(
        &self,
        now: Instant,
        to: &VmName,
        borrower: Incarnation,
        (number, share, tokens): (u64, Share, u64),
    ) -> crate::Outgoing {
        let level = self.limiter.meter().level_microtokens(now);
        self.outgoing(
            to,
            Body::Loan(Loan {
                borrower,
                number,
                share,
                tokens,
                lease: self.settings.lease,
                level,
            }),
        )
    }
}
