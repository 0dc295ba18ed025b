use std::collections::HashMap;

use mh_types::{DomainName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::RelayLimits;
use crate::order::{order, weight};

/// VMs of a region that read. Two outlive the loss of one without a pause.
const READERS: usize = 2;

/// VMs that fetch from one VM. Four copies of a large change take a small VM's link a quarter of a second, and a region
/// of a hundred VMs is reached in four steps.
const FAN_OUT: usize = 4;

/// VMs after which the wait before reading grows no more, so that the last VM of a large region takes over in time.
const MAX_STAGGERS: usize = 8;

/// Decides whether this VM reads the store or relies on others of its region that do.
#[derive(Debug)]
pub struct Election {
    me: VmName,
    limits: RelayLimits,
    order: Vec<VmName>,
    /// VMs of the own failure domain, in the same order; empty while this VM is not listed.
    neighbours: Vec<VmName>,
    rank: usize,
    /// When the news of each reader were last heard.
    heard: HashMap<VmName, Instant>,
    is_reader: bool,
    /// Since when too few readers are heard.
    short_since: Option<Instant>,
    /// Since when more readers than needed are heard.
    spare_since: Option<Instant>,
    /// When this VM may read again although it hears another reader, after its own calls failed.
    retry_at: Option<Instant>,
    /// Until when the first VMs of a list that this VM just learned are assumed to read.
    assumed_until: Option<Instant>,
}

impl Election {
    /// A VM that knows no other one, and reads.
    pub fn new(me: VmName, limits: RelayLimits, now: Instant) -> Self {
        Self {
            me,
            limits,
            order: Vec::new(),
            neighbours: Vec::new(),
            rank: 0,
            heard: HashMap::new(),
            is_reader: true,
            short_since: Some(now),
            spare_since: None,
            retry_at: None,
            assumed_until: None,
        }
    }

    /// The times in use.
    pub fn limits(&self) -> &RelayLimits {
        &self.limits
    }

    /// Takes new times.
    pub fn set_limits(&mut self, limits: RelayLimits) {
        self.limits = limits;
    }

    /// Takes the listed VMs of the own region with their failure domains; returns whether this VM stops reading.
    pub fn set_vms(&mut self, vms: impl IntoIterator<Item = (VmName, DomainName)>, now: Instant) -> bool {
        let was_listed = self.order.contains(&self.me);
        let domains: HashMap<VmName, DomainName> = vms.into_iter().collect();
        self.order = order(domains.clone());
        let own = domains.get(&self.me);
        let neighbours = self.order.iter().filter(|vm| own.is_some() && domains.get(*vm) == own);
        self.neighbours = neighbours.cloned().collect();
        let rank = self.order.iter().position(|vm| *vm == self.me);
        self.rank = rank.unwrap_or(self.order.len());
        let order = &self.order;
        self.heard.retain(|vm, _| order.contains(vm));
        // A fleet that starts would otherwise have every VM read until it heard the first ones.
        let stops = self.is_reader && !was_listed && !self.order.is_empty() && !self.is_first_choice();
        if stops {
            self.is_reader = false;
            self.short_since = None;
            self.assumed_until = Some(now + self.limits.fresh);
        }
        stops
    }

    /// Whether this VM reads.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Place of this VM in the order; VMs of the first places read as long as they can.
    pub fn is_first_choice(&self) -> bool {
        self.rank < READERS
    }

    /// The VMs to which this one passes on what it reads.
    pub fn followers(&self) -> impl Iterator<Item = &VmName> {
        self.order.iter().filter(|vm| **vm != self.me)
    }

    /// The VMs to fetch from, in the order in which to try them: the one before this in a tree over its failure domain,
    /// then the first readers, from which the first VM of each domain fetches. Few copies leave a domain that way.
    pub fn sources(&self) -> SmallVec<[VmName; 3]> {
        let place = self.neighbours.iter().position(|vm| *vm == self.me);
        let parent = match place {
            Some(place) => place.checked_sub(1).map(|place| &self.neighbours[place / FAN_OUT]),
            // VMs that are added together are not listed yet, and must not all ask the same one.
            None => self.order.get(weight(&self.me) as usize % self.order.len().max(1)),
        };
        let mut out: SmallVec<[VmName; 3]> = SmallVec::new();
        for vm in parent.into_iter().chain(self.order.iter().take(READERS)) {
            if *vm != self.me && !out.contains(vm) {
                out.push(vm.clone());
            }
        }
        out
    }

    /// Whether every listed VM of the region reads anyway.
    pub fn is_alone(&self) -> bool {
        !self.order.is_empty() && self.order.len() <= READERS
    }

    /// Records news of a reader; this VM holds all that they tell of.
    pub fn on_heard(&mut self, from: &VmName, now: Instant) {
        if self.order.contains(from) {
            self.heard.insert(from.clone(), now);
        }
    }

    /// Records that a VM says that it cannot read; its earlier news are no longer relied on.
    pub fn on_silent(&mut self, from: &VmName) {
        self.heard.remove(from);
    }

    /// Records that a call of this VM to the store failed.
    pub fn on_failed_read(&mut self, now: Instant) {
        if self.is_reader && self.fresh(now, usize::MAX) > 0 {
            self.is_reader = false;
            self.retry_at = Some(now + self.limits.retry);
        }
    }

    /// Forgets what was heard, as after a pause of the process, and reads.
    pub fn reset(&mut self, now: Instant) {
        self.heard.clear();
        self.is_reader = true;
        self.short_since = Some(now);
        self.spare_since = None;
        self.retry_at = None;
        self.assumed_until = None;
    }

    /// Whether another reader's news are recent enough to be relied on.
    pub fn is_vouched_for(&self, now: Instant) -> bool {
        self.fresh(now, usize::MAX) > 0
    }

    /// Decides anew; returns whether that changed anything.
    pub fn on_tick(&mut self, now: Instant) -> bool {
        let before = self.is_reader;
        if self.is_reader {
            self.may_stop(now);
        } else {
            self.may_start(now);
        }
        before != self.is_reader
    }

    /// Stops when enough VMs before this one in the order have read for a while.
    fn may_stop(&mut self, now: Instant) {
        self.short_since = None;
        if self.fresh(now, self.rank) < READERS {
            self.spare_since = None;
            return;
        }
        let since = *self.spare_since.get_or_insert(now);
        if now >= since + self.limits.settle {
            self.is_reader = false;
            self.spare_since = None;
        }
    }

    /// Starts when there are too few readers, or as one of the first in the order.
    fn may_start(&mut self, now: Instant) {
        let heard = self.fresh(now, usize::MAX);
        if heard == 0 && self.assumed_until.is_some_and(|until| now < until) {
            return;
        }
        if heard > 0 && self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        if heard >= READERS && !self.is_first_choice() {
            self.short_since = None;
            return;
        }
        let since = *self.short_since.get_or_insert(now);
        let stagger = self.limits.stagger * self.rank.min(MAX_STAGGERS) as u32;
        let wait = match heard {
            0 => stagger,
            // One reader is enough for now; its replacement need not hurry.
            _ if !self.is_first_choice() => self.limits.settle + stagger,
            _ => std::time::Duration::ZERO,
        };
        if now >= since + wait {
            self.is_reader = true;
            self.short_since = None;
            self.retry_at = None;
        }
    }

    /// Readers before the place `rank` of the order whose news are recent.
    fn fresh(&self, now: Instant, rank: usize) -> usize {
        let before = self.order.iter().take(rank);
        before
            .filter(|vm| self.heard.get(*vm).is_some_and(|at| now <= *at + self.limits.fresh))
            .count()
    }
}
