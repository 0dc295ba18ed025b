use mh_types::VmName;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::Holder;
use crate::fallback::{Fallback, MAX_TARGETS, Target};
use crate::{Allowance, Share, Standing, TokenMove};

/// Divisor that turns a peer's reported tokens into what this VM asks of it before it hears again; the rest is left to
/// the peer's own callers and to other VMs.
const CREDIT_DIVISOR: u64 = 2;

/// VMs of which nothing is known that the request path may ask for one request between two ticks.
const PROBES: usize = 2;

impl Holder {
    /// Sets the meter to the share usable at `now`; returns the tokens removed, in millionths.
    pub(super) fn publish(&mut self, now: Instant, tokens: TokenMove) -> u64 {
        let own = self.own_share();
        let full = own + self.usable_borrowed();
        let own_until = now + self.settings.pause_limit;
        let loans = self.borrowed.iter().filter(|loan| !loan.share.is_none());
        let full_until = loans.map(|loan| loan.expires).min().unwrap_or(own_until);
        let rate = |share: Share| self.settings.safe_rate(self.budget.rate_of(share));

        let allowance = Allowance {
            full_rate: rate(full),
            full_burst: full.0,
            full_until,
            own_rate: rate(own),
            own_burst: own.0,
            own_until,
        };
        let moved = self.writer.set_share(now, &allowance, tokens);
        self.stats.lost_micros += moved.lost;
        moved.removed
    }

    /// Shows the request path whom to ask when the meter is empty.
    pub(super) fn refresh_fallback(&mut self, now: Instant) {
        if self.division.is_undivided() {
            let fallback = match self.owners.first() {
                Some(owner) if owner.vm != self.me.vm && !self.decides_alone() => Fallback::Owner(owner.vm.clone()),
                _ => Fallback::Nobody,
            };
            self.limiter.set_fallback(fallback);
            return;
        }
        let old = self.limiter.fallback();
        // Without this, the first requests at a VM that owns nothing would be refused although others have tokens.
        let knows_whom = !matches!(*old, Fallback::Nobody);
        if knows_whom && self.demand.is_idle() && self.borrowed.is_empty() && self.lent.is_empty() {
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
        targets.truncate(MAX_TARGETS - PROBES);
        for _ in 0..PROBES {
            self.add_probe(&mut targets);
        }
        self.limiter.set_fallback(Fallback::Peers(targets));
        self.fallback_at = now;
    }

    /// VMs that reported tokens in a message since the last refresh.
    fn reported_targets(&self, now: Instant) -> SmallVec<[Target; MAX_TARGETS]> {
        let oldest = now
            .checked_sub(self.level_lifetime())
            .unwrap_or(self.fallback_at)
            .max(self.fallback_at);
        let lenders = self.borrowed.iter().map(|loan| (&loan.vm, loan.level, loan.level_at));
        let borrowers = self.lent.iter().map(|lent| (&lent.vm, lent.level, lent.level_at));
        let mut targets: SmallVec<[Target; MAX_TARGETS]> = SmallVec::new();
        for (vm, level, at) in lenders.chain(borrowers) {
            if at >= oldest && targets.iter().all(|target| target.vm != *vm) {
                targets.push(Target::new(vm.clone(), Self::whole_tokens(level) / CREDIT_DIVISOR));
            }
        }
        targets
    }

    /// Lets the request path try one owner of which nothing is known, a different one each time.
    fn add_probe(&mut self, targets: &mut SmallVec<[Target; MAX_TARGETS]>) {
        let is_new = |vm: &VmName| *vm != self.me.vm && targets.iter().all(|target| target.vm != *vm);
        let next = self.owners.next_after(self.probe, is_new);
        if let Some(index) = next
            && let Some(vm) = self.owners.vm(index)
        {
            targets.push(Target::new(vm.clone(), 1));
            self.probe = index + 1;
        }
    }

    fn usable_borrowed(&self) -> Share {
        if self.standing == Standing::Unlisted {
            Share::NONE
        } else {
            self.borrowed_share()
        }
    }
}
