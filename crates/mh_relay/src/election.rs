use std::collections::HashMap;
use std::time::Duration;

use mh_types::{DomainName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::RelayTimings;
use crate::priority_order::{name_hash, priority_order};

/// Number of VMs per region that read the store. With two, the loss of one causes no interruption.
const READERS_PER_REGION: usize = 2;

/// Largest number of VMs of a region that all call often a store that does not answer. Their calls are few, and hardly any
/// other VM would notice that the store is back if it leaves out the first two.
const MAX_LEADING_CALLERS: usize = 4;

/// Number of VMs that fetch from one VM. With four, a large change occupies a small VM's link for 0.25 s and reaches a
/// region of 100 VMs in four steps.
const FAN_OUT: usize = 4;

/// Position in the priority order after which the takeover delay no longer grows, so that the last VM of a large region
/// takes over in time.
const MAX_STAGGER_STEPS: usize = 8;

/// Decides whether this VM reads the store or relies on reports from readers in its region.
#[derive(Debug)]
pub struct Election {
    own_vm: VmName,
    timings: RelayTimings,
    /// VMs of the region in priority order.
    order: Vec<VmName>,
    /// VMs of the own failure domain in priority order; empty while this VM is not listed.
    domain_vms: Vec<VmName>,
    /// Position of this VM in `order`; the length of `order` while this VM is not listed.
    rank: usize,
    /// Time of the last report from each reader.
    last_report: HashMap<VmName, Instant>,
    /// Time of the last notice from each VM that calls the store in vain.
    last_failure_notice: HashMap<VmName, Instant>,
    is_reader: bool,
    /// Time since which there have been too few readers with recent reports.
    too_few_since: Option<Instant>,
    /// Time since which enough readers with a higher priority have been active.
    excess_since: Option<Instant>,
    /// Time since which too few VMs with a higher priority have been heard to call the store.
    leading_since: Option<Instant>,
    is_leading_caller: bool,
    /// Earliest time at which this VM may read again while another reader is active, after its own calls failed.
    retry_at: Option<Instant>,
    /// Time until which the first VMs of a newly received list are assumed to be readers.
    assume_readers_until: Option<Instant>,
}

impl Election {
    /// Creates the election of a VM that knows no other VM and therefore reads.
    pub fn new(own_vm: VmName, timings: RelayTimings, now: Instant) -> Self {
        Self {
            own_vm,
            timings,
            order: Vec::new(),
            domain_vms: Vec::new(),
            rank: 0,
            last_report: HashMap::new(),
            last_failure_notice: HashMap::new(),
            is_reader: true,
            leading_since: Some(now),
            is_leading_caller: true,
            too_few_since: Some(now),
            excess_since: None,
            retry_at: None,
            assume_readers_until: None,
        }
    }

    /// Returns the timings in use.
    pub fn timings(&self) -> &RelayTimings {
        &self.timings
    }

    /// Replaces the timings.
    pub fn set_timings(&mut self, timings: RelayTimings) {
        self.timings = timings;
    }

    /// Sets the listed VMs of the own region with their failure domains. Returns whether this VM stops reading.
    pub fn set_vms(&mut self, vms: impl IntoIterator<Item = (VmName, DomainName)>, now: Instant) -> bool {
        let was_listed = self.order.contains(&self.own_vm);
        let domains: HashMap<VmName, DomainName> = vms.into_iter().collect();
        self.order = priority_order(domains.clone());
        let own_domain = domains.get(&self.own_vm);
        let domain_vms = self
            .order
            .iter()
            .filter(|vm| own_domain.is_some() && domains.get(*vm) == own_domain);
        self.domain_vms = domain_vms.cloned().collect();
        let rank = self.order.iter().position(|vm| *vm == self.own_vm);
        self.rank = rank.unwrap_or(self.order.len());
        let order = &self.order;
        self.last_report.retain(|vm, _| order.contains(vm));
        self.last_failure_notice.retain(|vm, _| order.contains(vm));
        // Otherwise, when a whole fleet starts, every VM would read until it received the first reports.
        let stops = self.is_reader && !was_listed && !self.order.is_empty() && !self.is_preferred_reader();
        if stops {
            self.is_reader = false;
            self.too_few_since = None;
            self.assume_readers_until = Some(now + self.timings.report_lifetime);
        }
        stops
    }

    /// Returns whether this VM reads the store.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns whether this VM is among the first in the priority order, which read whenever they can.
    pub fn is_preferred_reader(&self) -> bool {
        self.rank < READERS_PER_REGION
    }

    /// Returns the other VMs of the region, readers included.
    pub fn peers(&self) -> impl Iterator<Item = &VmName> {
        self.order.iter().filter(|vm| **vm != self.own_vm)
    }

    /// Returns the VMs to fetch from, in the order in which to try them: first the parent in a tree over the own
    /// failure domain, then the preferred readers, from which the first VM of each domain fetches. This keeps the
    /// number of copies between domains small.
    pub fn sources(&self) -> SmallVec<[VmName; 3]> {
        let position = self.domain_vms.iter().position(|vm| *vm == self.own_vm);
        let parent = match position {
            Some(position) => position
                .checked_sub(1)
                .map(|position| &self.domain_vms[position / FAN_OUT]),
            // VMs that are added at the same time are not listed yet; the hash spreads them over different sources.
            None => self
                .order
                .get(name_hash(&self.own_vm) as usize % self.order.len().max(1)),
        };
        let mut sources: SmallVec<[VmName; 3]> = SmallVec::new();
        for vm in parent.into_iter().chain(self.order.iter().take(READERS_PER_REGION)) {
            if *vm != self.own_vm && !sources.contains(vm) {
                sources.push(vm.clone());
            }
        }
        sources
    }

    /// Returns whether the region is so small that every listed VM is a reader.
    pub fn all_vms_read(&self) -> bool {
        !self.order.is_empty() && self.order.len() <= READERS_PER_REGION
    }

    /// Records a report from a reader. The caller has already applied everything that the report refers to.
    pub fn on_report(&mut self, from: &VmName, now: Instant) {
        if self.order.contains(from) {
            self.last_report.insert(from.clone(), now);
        }
    }

    /// Records that a VM reported that it calls the store in vain, which invalidates its earlier reports.
    pub fn on_reader_failed(&mut self, from: &VmName, now: Instant) {
        self.last_report.remove(from);
        if self.order.contains(from) {
            self.last_failure_notice.insert(from.clone(), now);
        }
    }

    /// Returns whether this VM must notice by its own calls when the store answers again. Others leave that to the first
    /// two that they hear, because failed calls cost the store as much as answered ones.
    pub fn is_leading_caller(&self) -> bool {
        self.is_leading_caller
    }

    /// Records that a store call of this VM failed.
    pub fn on_read_failed(&mut self, now: Instant) {
        if self.is_reader && self.count_recent_readers(now, usize::MAX) > 0 {
            self.is_reader = false;
            self.retry_at = Some(now + self.timings.retry_delay);
        }
    }

    /// Discards all reports and starts reading, for example after a pause of the process.
    pub fn reset(&mut self, now: Instant) {
        self.last_report.clear();
        self.last_failure_notice.clear();
        self.is_reader = true;
        self.leading_since = Some(now);
        self.is_leading_caller = true;
        self.too_few_since = Some(now);
        self.excess_since = None;
        self.retry_at = None;
        self.assume_readers_until = None;
    }

    /// Returns whether any reader has a recent report.
    pub fn has_recent_reader(&self, now: Instant) -> bool {
        self.count_recent_readers(now, usize::MAX) > 0
    }

    /// Re-evaluates the role of this VM. Returns whether it changed.
    pub fn on_tick(&mut self, now: Instant) -> bool {
        let was_reader = self.is_reader;
        self.update_leading_caller(now);
        if self.is_reader {
            self.stop_if_redundant(now);
        } else {
            self.start_if_needed(now);
        }
        was_reader != self.is_reader
    }

    fn update_leading_caller(&mut self, now: Instant) {
        let is_heard = |at: &Instant| now <= *at + self.timings.report_lifetime;
        let calls = |vm: &&VmName| {
            let times = [&self.last_report, &self.last_failure_notice];
            times.iter().any(|times| times.get(*vm).is_some_and(is_heard))
        };
        let is_large_region = self.order.len() > MAX_LEADING_CALLERS;
        if is_large_region && self.order.iter().take(self.rank).filter(calls).count() >= READERS_PER_REGION {
            self.leading_since = None;
            self.is_leading_caller = false;
            return;
        }
        let since = *self.leading_since.get_or_insert(now);
        self.is_leading_caller = self.is_preferred_reader() || now >= since + self.stagger();
    }

    /// Returns the delay by which this VM takes over later than the first one in the priority order.
    fn stagger(&self) -> Duration {
        self.timings.takeover_stagger * self.rank.min(MAX_STAGGER_STEPS) as u32
    }

    /// Stops reading after enough VMs with a higher priority have been readers for the settle delay.
    fn stop_if_redundant(&mut self, now: Instant) {
        self.too_few_since = None;
        if self.count_recent_readers(now, self.rank) < READERS_PER_REGION {
            self.excess_since = None;
            return;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now >= since + self.timings.settle_delay {
            self.is_reader = false;
            self.excess_since = None;
        }
    }

    /// Starts reading if there are too few readers or if this VM is a preferred reader.
    fn start_if_needed(&mut self, now: Instant) {
        let recent = self.count_recent_readers(now, usize::MAX);
        if recent == 0 && self.assume_readers_until.is_some_and(|until| now < until) {
            return;
        }
        if recent > 0 && self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        if recent >= READERS_PER_REGION && !self.is_preferred_reader() {
            self.too_few_since = None;
            return;
        }
        let since = *self.too_few_since.get_or_insert(now);
        let stagger = self.stagger();
        let wait = match recent {
            0 => stagger,
            // One reader is still active, so a second one is not urgent.
            _ if !self.is_preferred_reader() => self.timings.settle_delay + stagger,
            _ => Duration::ZERO,
        };
        if now >= since + wait {
            self.is_reader = true;
            self.too_few_since = None;
            self.retry_at = None;
        }
    }

    /// Counts readers with a recent report among the first `rank` VMs of the priority order.
    fn count_recent_readers(&self, now: Instant, rank: usize) -> usize {
        let before = self.order.iter().take(rank);
        before
            .filter(|vm| {
                self.last_report
                    .get(*vm)
                    .is_some_and(|at| now <= *at + self.timings.report_lifetime)
            })
            .count()
    }
}
