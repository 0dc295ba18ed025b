mod borrow;
mod borrowed;
mod lend;
mod lent;
mod own;
mod publish;

use std::sync::Arc;
use std::time::Duration;

use mh_types::{DomainName, Incarnation, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::demand::Demand;
use crate::{
    Body, Budget, Division, HolderStats, LendingSettings, Limiter, Meter, MeterWriter, Msg, Outgoing, Owners, Share,
    Slots, Standing, TokenMove,
};
use borrowed::Borrowed;
use lent::Lent;

/// Messages that a holder wants sent.
pub type Outbox = SmallVec<[Outgoing; 2]>;

/// What identifies the process that a [`Holder`] belongs to; shared by all holders of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Me {
    /// The VM's name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The process's incarnation.
    pub incarnation: Incarnation,
}

/// One VM's part of one budget: slots owned, loans lent and borrowed.
///
/// The control loop calls [`on_tick`](Self::on_tick) about ten times a second and passes in messages. The request path
/// uses the [`Limiter`]. At any moment the shares in use at all VMs, with those on their way in messages, add up to at
/// most the whole, because a share leaves this VM's meter before it is lent and comes back only when the borrower said
/// that it stopped or its lease has ended.
#[derive(Debug)]
pub struct Holder {
    budget: Arc<Budget>,
    settings: Arc<LendingSettings>,
    me: Arc<Me>,
    division: Division,
    standing: Standing,
    owners: Arc<Owners>,
    owned: Slots,
    releasing: Slots,
    waiting: SmallVec<[(Slots, Instant); 1]>,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    writer: MeterWriter,
    limiter: Limiter,
    demand: Demand,
    demand_at: Instant,
    seen_at: Instant,
    /// When the last pause beyond the limit was noticed.
    paused_at: Instant,
    number: u64,
    cursor: usize,
    probe: usize,
    fallback_at: Instant,
    stats: HolderStats,
}

impl Holder {
    /// A holder without slots. `domains` is the number of failure domains of the whole system.
    ///
    /// `spread` is any number that differs between VMs, such as a hash of the name; it keeps VMs from all asking the
    /// same owner first.
    pub fn new(
        now: Instant,
        me: Arc<Me>,
        budget: Arc<Budget>,
        settings: Arc<LendingSettings>,
        domains: u16,
        spread: u64,
    ) -> Self {
        let (meter, writer) = Meter::new(now, budget.burst_micros());
        let division = Division::of(&budget, domains);
        let start = (spread % u64::from(u16::MAX)) as usize;
        Self {
            budget,
            settings,
            me,
            division,
            standing: Standing::Listed,
            owners: Arc::default(),
            owned: Slots::default(),
            releasing: Slots::default(),
            waiting: SmallVec::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
            writer,
            limiter: Limiter::new(meter),
            demand: Demand::default(),
            demand_at: now,
            seen_at: now,
            paused_at: now,
            number: 0,
            cursor: start,
            probe: start,
            fallback_at: now,
            stats: HolderStats::default(),
        }
    }

    /// What the request path uses.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// The budget.
    pub fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Takes in a new rate; the burst and with it the cut must be unchanged.
    ///
    /// Shares are parts of the burst, so they stay as they are on every VM while some still use the old rate.
    pub fn set_budget(&mut self, now: Instant, budget: Arc<Budget>) {
        debug_assert_eq!(
            budget.burst_micros(),
            self.budget.burst_micros(),
            "the burst is part of the cut"
        );
        self.budget = budget;
        self.publish(now, TokenMove::Keep);
    }

    /// How the budget is cut.
    pub fn division(&self) -> Division {
        self.division
    }

    /// Whether the owned slots may be used.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Slots owned, without those that wait for a previous owner's loans to end.
    pub fn owned(&self) -> &Slots {
        &self.owned
    }

    /// Share lent to others, including loans that may have ended unknown to this VM.
    pub fn lent_share(&self) -> Share {
        self.lent.iter().map(|lent| lent.share).sum()
    }

    /// Share borrowed from others.
    pub fn borrowed_share(&self) -> Share {
        self.borrowed.iter().map(|loan| loan.share).sum()
    }

    /// Share that this VM's meter uses.
    pub fn usable_share(&self) -> Share {
        self.own_share() + self.borrowed_share()
    }

    /// Counters since the start.
    pub fn stats(&self) -> HolderStats {
        self.stats
    }

    /// Approximate size in memory, in bytes, without what is shared between holders.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.lent.capacity() * size_of::<Lent>()
            + self.borrowed.capacity() * size_of::<Borrowed>()
            + Meter::MEMORY_BYTES
    }

    /// Replaces the list of the VMs that own slots.
    pub fn set_owners(&mut self, now: Instant, owners: Arc<Owners>) {
        self.owners = owners;
        self.refresh_fallback(now);
    }

    /// Whether nothing would change but by the passing of seconds: nobody asks, and nothing is lent, borrowed or waited
    /// for. A quiet holder still needs a tick well within the pause limit.
    pub fn is_quiet(&self) -> bool {
        self.demand.is_settled(self.limiter.meter().asked())
            && self.lent.is_empty()
            && self.borrowed.is_empty()
            && self.waiting.is_empty()
            && self.releasing.is_empty()
            && self.standing == Standing::Listed
    }

    /// Does what is due: ends loans, measures demand, asks for share, renews loans and returns what is not needed.
    ///
    /// A gap of more than the pause limit since the last call of any method that takes `now` makes the VM
    /// [`Unconfirmed`](Standing::Unconfirmed).
    pub fn on_tick(&mut self, now: Instant) -> Outbox {
        self.advance(now);
        let elapsed = now.saturating_duration_since(self.demand_at);
        if !elapsed.is_zero() {
            self.demand.update(self.limiter.meter().asked(), elapsed);
            self.demand_at = now;
        }
        let mut out = Outbox::new();
        if !self.division.is_undivided() && self.standing != Standing::Unlisted {
            self.borrow(now, &mut out);
        }
        self.publish(now, crate::TokenMove::Keep);
        self.refresh_fallback(now);
        out
    }

    /// Takes in a message from `from` and returns the answers.
    pub fn on_msg(&mut self, now: Instant, from: &VmName, msg: &Msg) -> Outbox {
        self.advance(now);
        let mut out = Outbox::new();
        if msg.budget != *self.budget.name() || self.division.is_undivided() || *from == self.me.vm {
            return out;
        }
        match &msg.body {
            Body::Ask(ask) => self.on_ask(now, from, msg.incarnation, ask, &mut out),
            Body::Loan(loan) => self.on_loan(now, from, msg.incarnation, loan),
            Body::Return(ret) => self.on_return(now, from, msg.incarnation, *ret),
        }
        out
    }

    /// Brings the state up to `now`: pauses, waits and leases that have ended.
    fn advance(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.seen_at);
        self.seen_at = self.seen_at.max(now);
        if gap >= self.settings.pause_limit && self.standing != Standing::Unlisted && !self.holds_nothing() {
            self.standing = Standing::Unconfirmed;
            self.paused_at = now;
        }
        let mut changed = gap >= self.settings.pause_limit;
        changed |= self.end_waits(now);
        changed |= self.end_lent(now);
        changed |= self.end_borrowed(now);
        if changed {
            self.publish(now, crate::TokenMove::Keep);
        }
    }

    fn holds_nothing(&self) -> bool {
        self.owned.is_empty() && self.waiting.is_empty()
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
        self.number += 1;
        self.number
    }

    fn outgoing(&self, to: &VmName, body: Body) -> Outgoing {
        let msg = Msg {
            budget: self.budget.name().clone(),
            incarnation: self.me.incarnation,
            body,
        };
        Outgoing { to: to.clone(), msg }
    }

    /// How long a level that another VM reported is believed; two renewals pass in this time.
    fn level_lifetime(&self) -> Duration {
        self.settings.renew * 2
    }
}
