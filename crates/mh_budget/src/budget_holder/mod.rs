mod borrow;
mod borrower;
mod lend;
mod lender;
mod ownership;
mod request_path;

use std::sync::Arc;
use std::time::Duration;

use mh_types::{DomainName, Incarnation, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::demand::Demand;
use crate::{
    Body, Budget, BudgetHolderStats, Division, LendingSettings, Limiter, Meter, MeterWriter, Msg, Outgoing, Owners,
    Share, SlotAccess, Slots, TokenMove,
};
use borrower::Borrower;
use lender::Lender;

/// Messages that the caller of a holder must send.
pub type Outbox = SmallVec<[Outgoing; 2]>;

/// Identity of the process that a [`BudgetHolder`] belongs to; shared by all holders of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// The VM's name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The process's incarnation.
    pub incarnation: Incarnation,
}

/// State of one budget on one VM: owned slots, loans granted and loans received.
///
/// The control loop calls [`on_tick`](Self::on_tick) about ten times a second and passes in messages. The request path
/// uses the [`Limiter`]. At any moment the shares in use at all VMs and those in transit in messages add up to at most
/// the whole budget, because a share leaves this VM's meter before it is lent and returns only when the borrower has
/// reported that it stopped using it or when its lease has ended.
#[derive(Debug)]
pub struct BudgetHolder {
    budget: Arc<Budget>,
    settings: Arc<LendingSettings>,
    identity: Arc<VmIdentity>,
    division: Division,
    slot_access: SlotAccess,
    owners: Arc<Owners>,
    owned: Slots,
    releasing: Slots,
    takeover_waits: SmallVec<[(Slots, Instant); 1]>,
    borrowers: Vec<Borrower>,
    lenders: Vec<Lender>,
    writer: MeterWriter,
    limiter: Limiter,
    demand: Demand,
    demand_updated_at: Instant,
    last_call_at: Instant,
    /// When the last pause beyond the limit was detected.
    pause_noticed_at: Instant,
    last_number: u64,
    loan_request_cursor: usize,
    probe_cursor: usize,
    fallback_set_at: Instant,
    stats: BudgetHolderStats,
}

impl BudgetHolder {
    /// Creates a holder without slots. `domains` is the number of failure domains of the whole system.
    ///
    /// `cursor_seed` is any number that differs between VMs, such as a hash of the name, so that not all VMs ask the
    /// same owner first.
    pub fn new(
        now: Instant,
        identity: Arc<VmIdentity>,
        budget: Arc<Budget>,
        settings: Arc<LendingSettings>,
        domains: u16,
        cursor_seed: u64,
    ) -> Self {
        let (meter, writer) = Meter::new(now, budget.burst_microtokens());
        let division = Division::of(&budget, domains);
        let start = (cursor_seed % u64::from(u16::MAX)) as usize;
        Self {
            budget,
            settings,
            identity,
            division,
            slot_access: SlotAccess::Listed,
            owners: Arc::default(),
            owned: Slots::default(),
            releasing: Slots::default(),
            takeover_waits: SmallVec::new(),
            borrowers: Vec::new(),
            lenders: Vec::new(),
            writer,
            limiter: Limiter::new(meter),
            demand: Demand::default(),
            demand_updated_at: now,
            last_call_at: now,
            pause_noticed_at: now,
            last_number: 0,
            loan_request_cursor: start,
            probe_cursor: start,
            fallback_set_at: now,
            stats: BudgetHolderStats::default(),
        }
    }

    /// The limiter for the request path.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// The budget.
    pub fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Replaces the budget by one with a new rate; the burst, and with it the division, must be unchanged.
    ///
    /// Shares are counted in burst, so they stay valid on every VM while some VMs still use the old rate.
    pub fn set_budget(&mut self, now: Instant, budget: Arc<Budget>) {
        debug_assert_eq!(
            budget.burst_microtokens(),
            self.budget.burst_microtokens(),
            "set_budget must not change the burst, on which the division depends"
        );
        self.budget = budget;
        self.update_meter(now, TokenMove::Keep);
    }

    /// Division of the budget into slots.
    pub fn division(&self) -> Division {
        self.division
    }

    /// Whether the owned slots may be used.
    pub fn slot_access(&self) -> SlotAccess {
        self.slot_access
    }

    /// Slots owned, without those that wait for a previous owner's loans to end.
    pub fn owned(&self) -> &Slots {
        &self.owned
    }

    /// Share lent to others, including loans that may have ended without this VM's knowledge.
    pub fn lent_share(&self) -> Share {
        self.borrowers.iter().map(|borrower| borrower.share).sum()
    }

    /// Share borrowed from others.
    pub fn borrowed_share(&self) -> Share {
        self.lenders.iter().map(|lender| lender.share).sum()
    }

    /// Whether a loan of `vm` is in use.
    pub fn borrows_from(&self, vm: &VmName) -> bool {
        self.lenders
            .iter()
            .any(|lender| lender.vm == *vm && !lender.share.is_empty())
    }

    /// Whether released slots are still lent.
    pub fn is_releasing(&self) -> bool {
        !self.releasing.is_empty()
    }

    /// Share that this VM's meter uses.
    pub fn usable_share(&self) -> Share {
        self.own_share() + self.borrowed_share()
    }

    /// Counters since the start.
    pub fn stats(&self) -> BudgetHolderStats {
        self.stats
    }

    /// Approximate size in memory, in bytes, without the data that holders share.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.borrowers.capacity() * size_of::<Borrower>()
            + self.lenders.capacity() * size_of::<Lender>()
            + Meter::MEMORY_BYTES
    }

    /// Replaces the list of the VMs that own slots.
    pub fn set_owners(&mut self, now: Instant, owners: Arc<Owners>) {
        self.owners = owners;
        self.refresh_fallback(now);
    }

    /// Whether the holder needs no frequent ticks: there is no demand, nothing is lent or borrowed, and no slot is
    /// being taken over or released. A quiet holder still needs a tick well within the pause limit.
    pub fn is_quiet(&self) -> bool {
        self.demand.is_settled(self.limiter.meter().requested())
            && self.borrowers.is_empty()
            && self.lenders.is_empty()
            && self.takeover_waits.is_empty()
            && self.releasing.is_empty()
            && self.slot_access == SlotAccess::Listed
    }

    /// Records that the process runs, instead of a tick of a [quiet](Self::is_quiet) holder. Without it the time between
    /// two ticks would count as a part of a pause.
    pub fn note_running(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_call_at) < self.settings.pause_limit {
            self.last_call_at = self.last_call_at.max(now);
        }
    }

    /// Ends expired loans, measures demand, requests loans, renews loans and returns share that is not needed.
    ///
    /// A gap of the pause limit or more since the last call of any method that takes `now` makes the VM
    /// [`Unconfirmed`](SlotAccess::Unconfirmed).
    pub fn on_tick(&mut self, now: Instant) -> Outbox {
        self.advance(now);
        let elapsed = now.saturating_duration_since(self.demand_updated_at);
        if !elapsed.is_zero() {
            self.demand.update(self.limiter.meter().requested(), elapsed);
            self.demand_updated_at = now;
        }
        let mut out = Outbox::new();
        if !self.division.is_undivided() && self.slot_access != SlotAccess::Unlisted {
            self.borrow(now, &mut out);
        }
        self.update_meter(now, crate::TokenMove::Keep);
        self.refresh_fallback(now);
        out
    }

    /// Processes a message from `from` and returns the answers.
    pub fn on_msg(&mut self, now: Instant, from: &VmName, msg: &Msg) -> Outbox {
        self.advance(now);
        let mut out = Outbox::new();
        if msg.budget != *self.budget.name() || self.division.is_undivided() || *from == self.identity.vm {
            return out;
        }
        match &msg.body {
            Body::Ask(ask) => self.on_loan_request(now, from, msg.incarnation, ask, &mut out),
            Body::Loan(loan) => self.on_loan(now, from, msg.incarnation, loan),
            Body::Return(ret) => self.on_return(now, from, msg.incarnation, *ret),
        }
        out
    }

    /// Brings the state up to `now`: detects pauses, and ends takeover waits and leases that have expired.
    fn advance(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_call_at);
        self.last_call_at = self.last_call_at.max(now);
        if gap >= self.settings.pause_limit && self.slot_access != SlotAccess::Unlisted && !self.owns_no_slots() {
            self.slot_access = SlotAccess::Unconfirmed;
            self.pause_noticed_at = now;
        }
        let mut changed = gap >= self.settings.pause_limit;
        changed |= self.end_takeover_waits(now);
        changed |= self.expire_borrowers(now);
        changed |= self.expire_loans(now);
        if changed {
            self.update_meter(now, crate::TokenMove::Keep);
        }
    }

    fn owns_no_slots(&self) -> bool {
        self.owned.is_empty() && self.takeover_waits.is_empty()
    }

    fn need(&self) -> Share {
        self.demand.need(&self.budget)
    }

    fn want(&self) -> Share {
        self.demand.want(&self.budget)
    }

    /// Smallest share worth a loan.
    fn min_loan() -> Share {
        Share::of_tokens(1)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn outgoing(&self, to: &VmName, body: Body) -> Outgoing {
        let msg = Msg {
            budget: self.budget.name().clone(),
            incarnation: self.identity.incarnation,
            body,
        };
        Outgoing { to: to.clone(), msg }
    }

    /// Time for which a level reported by another VM is used; two renewals fit in this time.
    fn reported_level_lifetime(&self) -> Duration {
        self.settings.renew_interval * 2
    }
}
