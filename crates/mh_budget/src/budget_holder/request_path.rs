use mh_types::VmName;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::BudgetHolder;
use crate::fallback::{Fallback, MAX_TARGETS, Target};
use crate::{Allowance, Share, SlotAccess, TokenMove};

/// Divisor from a peer's reported tokens to the tokens that this VM asks of it before its next report; the rest is left
/// to the peer's own callers and to other VMs.
const CREDIT_DIVISOR: u64 = 2;

/// Number of VMs without a known level that the request path may ask, for one token each, between two ticks.
const PROBE_TARGETS: usize = 2;

impl BudgetHolder {
    /// Sets the meter to the share that is usable at `now`; returns the tokens removed, in millionths.
    pub(super) fn update_meter(&mut self, now: Instant, tokens: TokenMove) -> u64 {
        let own = self.own_share();
        let with_loans = own + self.usable_borrowed();
        let own_until = now + self.settings.pause_limit;
        let loans = self.lenders.iter().filter(|lender| !lender.share.is_empty());
        let with_loans_until = loans.map(|lender| lender.lease_ends_at).min().unwrap_or(own_until);
        let rate = |share: Share| self.settings.drift_safe_rate(self.budget.rate_of(share));

        let allowance = Allowance {
            with_loans_rate: rate(with_loans),
            with_loans_burst: with_loans.0,
            with_loans_until,
            own_rate: rate(own),
            own_burst: own.0,
            own_until,
        };
        let moved = self.writer.set_share(now, &allowance, tokens);
        self.stats.overflow_microtokens += moved.lost;
        moved.removed
    }

    /// Updates the VMs that the request path asks when the meter is empty.
    pub(super) fn refresh_fallback(&mut self, now: Instant) {
        if self.division.is_undivided() {
            let fallback = match self.owners.first() {
                Some(owner) if owner.vm != self.identity.vm && !self.owns_undivided_budget() => {
                    Fallback::Owner(owner.vm.clone())
                }
                _ => Fallback::Nobody,
            };
            self.limiter.set_fallback(fallback);
            return;
        }
        let old = self.limiter.fallback();
        // Only an existing list may be kept: otherwise a VM that owns no slots would refuse its first requests although
        // other VMs have tokens.
        let knows_whom = !matches!(*old, Fallback::Nobody);
        if knows_whom && self.demand.is_idle() && self.lenders.is_empty() && self.borrowers.is_empty() {
            return;
        }
        let mut targets = self.reported_targets(now);
        if let Fallback::Peers(old) = &*old {
            for target in old.iter().filter(|target| target.credit() > 0) {
                if targets.iter().all(|new| new.vm != target.vm) {
                    targets.push(Target::new(target.vm.clone(), target.credit()));
                }
            }
        }
        targets.sort_unstable_by_key(|target| std::cmp::Reverse(target.credit()));
        targets.truncate(MAX_TARGETS - PROBE_TARGETS);
        for _ in 0..PROBE_TARGETS {
            self.add_probe_target(&mut targets);
        }
        self.limiter.set_fallback(Fallback::Peers(targets));
        self.fallback_set_at = now;
    }

    /// VMs that reported their level in a message since the last refresh.
    fn reported_targets(&self, now: Instant) -> SmallVec<[Target; MAX_TARGETS]> {
        let oldest = now
            .checked_sub(self.reported_level_lifetime())
            .unwrap_or(self.fallback_set_at)
            .max(self.fallback_set_at);
        let lenders = self
            .lenders
            .iter()
            .map(|lender| (&lender.vm, lender.level, lender.level_reported_at));
        let borrowers = self
            .borrowers
            .iter()
            .map(|borrower| (&borrower.vm, borrower.level, borrower.level_reported_at));
        let mut targets: SmallVec<[Target; MAX_TARGETS]> = SmallVec::new();
        for (vm, level, at) in lenders.chain(borrowers) {
            if at >= oldest && targets.iter().all(|target| target.vm != *vm) {
                targets.push(Target::new(vm.clone(), Self::whole_tokens(level) / CREDIT_DIVISOR));
            }
        }
        targets
    }

    /// Adds one owner without a known level as a target, a different one each time.
    fn add_probe_target(&mut self, targets: &mut SmallVec<[Target; MAX_TARGETS]>) {
        let is_new = |vm: &VmName| *vm != self.identity.vm && targets.iter().all(|target| target.vm != *vm);
        let next = self.owners.next_after(self.probe_cursor, is_new);
        if let Some(index) = next
            && let Some(vm) = self.owners.vm(index)
        {
            targets.push(Target::new(vm.clone(), 1));
            self.probe_cursor = index + 1;
        }
    }

    fn usable_borrowed(&self) -> Share {
        if self.slot_access == SlotAccess::Unlisted {
            Share::EMPTY
        } else {
            self.borrowed_share()
        }
    }
}
