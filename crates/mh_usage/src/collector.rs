use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mh_types::{Incarnation, OrgName, VmName};
use tokio::time::Instant;

use crate::{Ack, Counts, Token, WindowRecord};

/// VMs whose time must be known before their median corrects others: fewer cannot outvote a wrong clock.
const MIN_CLOCKS: usize = 3;

/// Age after which a VM's time no longer counts.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(30);

/// Windows beyond the next one to record that are accepted; it bounds the memory.
const MAX_WINDOWS: u64 = 64;

/// Closed windows that are kept.
const MAX_CLOSED_WINDOWS: usize = 4;

/// Counts of one process of a VM in one window.
#[derive(Debug, Default)]
struct VmCounts {
    /// Number of the last known change.
    upto: u64,
    is_final: bool,
    orgs: HashMap<OrgName, u64>,
}

/// The holder's copy of all VMs' counts.
#[derive(Debug)]
pub struct Collector {
    token: Token,
    next_window: u64,
    windows: BTreeMap<u64, BTreeMap<(VmName, Incarnation), VmCounts>>,
    /// Closed windows, for VMs that did not get the last acknowledgement.
    closed: BTreeMap<u64, BTreeMap<(VmName, Incarnation), VmCounts>>,
    /// Own wall time of each VM, with the time of its receipt.
    clocks: HashMap<VmName, (Duration, Instant)>,
}

impl Collector {
    /// Creates the collector of the holder with `token`, which records windows from `next_window` on.
    pub fn new(token: Token, next_window: u64) -> Self {
        Self {
            token,
            next_window,
            windows: BTreeMap::new(),
            closed: BTreeMap::new(),
            clocks: HashMap::new(),
        }
    }

    /// Applies a VM's counts; `None` if they are meant for another holder. A repeated message has no effect.
    pub fn on_counts(&mut self, now: Instant, from: &VmName, msg: &Counts) -> Option<Ack> {
        if msg.token != self.token {
            return None;
        }
        self.clocks.insert(from.clone(), (msg.wall, now));
        let mut ack = Ack {
            incarnation: msg.incarnation,
            token: self.token,
            wall: self.fleet_wall(now),
            window: msg.window,
            upto: 0,
            is_final: false,
            is_closed: msg.window < self.next_window,
        };
        let vm = (from.clone(), msg.incarnation);
        if let Some(known) = self.closed.get(&msg.window).and_then(|vms| vms.get(&vm)) {
            (ack.upto, ack.is_final) = (known.upto, known.is_final);
        }
        if (self.next_window..self.next_window + MAX_WINDOWS).contains(&msg.window) {
            let vms = self.windows.entry(msg.window).or_default();
            let known = vms.entry(vm).or_default();
            // A message with a gap before it is ignored; the VM sends from the acknowledged change again.
            if msg.after <= known.upto && msg.upto >= known.upto {
                known.orgs.extend(msg.counts.iter().cloned());
                known.is_final = msg.is_final || (known.is_final && msg.upto == known.upto);
                known.upto = msg.upto;
            }
            (ack.upto, ack.is_final) = (known.upto, known.is_final);
        }
        Some(ack)
    }

    /// Returns the median time of the VMs.
    pub fn fleet_wall(&self, now: Instant) -> Option<Duration> {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let clocks = self.clocks.values().filter(|(_, at)| age(at) <= MAX_CLOCK_AGE);
        let mut walls: Vec<Duration> = clocks.map(|(wall, at)| *wall + age(at)).collect();
        walls.sort_unstable();
        (walls.len() >= MIN_CLOCKS).then(|| walls[walls.len() / 2])
    }

    /// Returns whether every VM of `alive` has sent its final counts of `window`.
    pub fn is_complete(&self, window: u64, alive: &[VmName]) -> bool {
        let vms = self.windows.get(&window);
        let has_sent = |vm: &VmName| {
            let counts = vms.into_iter().flatten().filter(|((from, _), _)| from == vm);
            counts.map(|(_, counts)| counts.is_final).next_back() == Some(true)
        };
        alive.iter().all(has_sent)
    }

    /// Returns the counts of `window` over all VMs.
    pub fn total(&self, window: u64) -> WindowRecord {
        let mut counts = BTreeMap::new();
        for vm in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (org, count) in vm.orgs.iter().filter(|(_, count)| **count > 0) {
                *counts.entry(org.clone()).or_default() += count;
            }
        }
        WindowRecord { window, counts }
    }

    /// Returns the first window of which counts are known.
    pub fn first_window(&self) -> Option<u64> {
        self.windows.keys().next().copied()
    }

    /// Ends the collection of windows before `next_window`; returns the VMs whose last counts are missing.
    pub fn close_before(&mut self, next_window: u64) -> Vec<VmName> {
        self.next_window = self.next_window.max(next_window);
        let kept = self.windows.split_off(&self.next_window);
        let closed = std::mem::replace(&mut self.windows, kept);
        let vms = closed.values().flatten();
        let incomplete = vms.filter(|(_, counts)| !counts.is_final && counts.upto > 0);
        let incomplete = incomplete.map(|((vm, _), _)| vm.clone()).collect();
        self.closed.extend(closed);
        while self.closed.len() > MAX_CLOSED_WINDOWS {
            self.closed.pop_first();
        }
        incomplete
    }
}
