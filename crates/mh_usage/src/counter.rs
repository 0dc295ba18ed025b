use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mh_types::{Incarnation, OrgName};

use crate::{Ack, Counts, Params, Token};

/// Largest size of the counts in one message, in bytes, so that a datagram stays below 1,200 bytes.
const MAX_COUNTS_BYTES: usize = 900;

/// Largest size of a count, without the organisation's name.
const COUNT_BYTES: usize = 11;

/// A counted request, until it is known whether a server began it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    /// Window in which it was counted.
    pub window: u64,
    /// Its organisation.
    pub org: OrgName,
}

/// Requests of one organisation in one window.
#[derive(Debug, Default)]
struct OrgCount {
    count: u64,
    /// Number of the last change.
    revision: u64,
    /// The count that some holder acknowledged.
    handed_over: u64,
}

/// Counts of one window.
#[derive(Debug, Default)]
struct WindowCounts {
    /// Number of the last change.
    revision: u64,
    /// Number of the last change that the holder knows.
    acked: u64,
    is_final_acked: bool,
    /// Requests that a server may still refuse.
    open: u32,
    orgs: HashMap<OrgName, OrgCount>,
}

impl WindowCounts {
    fn change(&mut self, org: &OrgName, change: impl FnOnce(u64) -> u64) {
        self.revision += 1;
        let counted = self.orgs.entry(org.clone()).or_default();
        counted.count = change(counted.count);
        counted.revision = self.revision;
    }

    /// Returns the counts that changed after the last acknowledged change, in the order of their changes.
    fn unacked(&self) -> Vec<(&OrgName, &OrgCount)> {
        let counts = self.orgs.iter().filter(|(_, counted)| counted.revision > self.acked);
        let mut counts: Vec<_> = counts.collect();
        counts.sort_unstable_by_key(|(_, counted)| counted.revision);
        counts
    }

    fn on_ack(&mut self, upto: u64, is_final: bool) {
        self.acked = self.acked.max(upto);
        self.is_final_acked |= is_final && upto == self.revision;
        for counted in self.orgs.values_mut().filter(|counted| counted.revision <= upto) {
            counted.handed_over = counted.count;
        }
    }

    /// Returns the requests that no holder knows.
    fn not_handed_over(&self) -> u64 {
        let counts = self.orgs.values();
        counts
            .map(|counted| counted.count.saturating_sub(counted.handed_over))
            .sum()
    }
}

/// Counts the requests of one VM that servers began.
#[derive(Debug)]
pub struct UsageCounter {
    incarnation: Incarnation,
    params: Params,
    windows: BTreeMap<u64, WindowCounts>,
    /// Holder to which the acknowledged numbers apply.
    token: Token,
    lost: u64,
}

impl UsageCounter {
    /// Creates a counter of the process `incarnation`.
    pub fn new(incarnation: Incarnation, params: Params) -> Self {
        Self {
            incarnation,
            params,
            windows: BTreeMap::new(),
            token: Token::default(),
            lost: 0,
        }
    }

    /// Counts a request that is about to be sent to a server.
    pub fn begin(&mut self, wall: Duration, org: &OrgName) -> Begun {
        let window = self.params.window_at(wall);
        let counts = self.windows.entry(window).or_default();
        counts.open += 1;
        counts.change(org, |count| count + 1);
        Begun {
            window,
            org: org.clone(),
        }
    }

    /// Ends the uncertainty about a counted request; one that did not run is taken back.
    pub fn settle(&mut self, begun: &Begun, may_have_run: bool) {
        // Counts that were dropped because of their age can no longer change.
        let Some(counts) = self.windows.get_mut(&begun.window) else {
            return;
        };
        counts.open = counts.open.saturating_sub(1);
        if !may_have_run {
            counts.change(&begun.org, |count| count.saturating_sub(1));
        }
    }

    /// Returns the changes that the holder with `token` does not know, as messages of bounded size.
    pub fn messages(&mut self, wall: Duration, own_wall: Duration, token: Token) -> Vec<Counts> {
        if token != self.token {
            // Another holder knows nothing yet.
            self.token = token;
            for counts in self.windows.values_mut() {
                counts.acked = 0;
                counts.is_final_acked = false;
            }
        }
        self.drop_before(self.params.oldest_window(wall));
        // A VM without requests says so too, so that the holder need not wait for it.
        self.windows.entry(self.params.window_at(wall)).or_default();
        let mut out = Vec::new();
        for (window, counts) in &self.windows {
            let is_over = wall >= self.params.end_of(*window);
            let is_final = is_over && counts.open == 0;
            if counts.acked == counts.revision && (counts.is_final_acked || !is_final) {
                continue;
            }
            let message = |after, upto, counts_sent| Counts {
                incarnation: self.incarnation,
                token,
                wall: own_wall,
                window: *window,
                after,
                upto,
                is_final: is_final && upto == counts.revision,
                counts: counts_sent,
            };
            let (mut after, mut bytes, mut part) = (counts.acked, 0, Vec::new());
            for (org, counted) in counts.unacked() {
                let size = org.as_str().len() + COUNT_BYTES;
                if bytes + size > MAX_COUNTS_BYTES {
                    out.push(message(after, counted.revision - 1, std::mem::take(&mut part)));
                    (after, bytes) = (counted.revision - 1, 0);
                }
                bytes += size;
                part.push((org.clone(), counted.count));
            }
            out.push(message(after, counts.revision, part));
        }
        out
    }

    /// Applies an acknowledgement of the holder.
    pub fn on_ack(&mut self, ack: &Ack) {
        if ack.incarnation != self.incarnation || ack.token != self.token {
            return;
        }
        if let Some(counts) = self.windows.get_mut(&ack.window) {
            counts.on_ack(ack.upto, ack.is_final);
        }
        if ack.is_closed
            && let Some(counts) = self.windows.remove(&ack.window)
        {
            self.lost += counts.not_handed_over();
        }
    }

    /// Returns the counted requests that were dropped before any holder knew them.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Returns the number of windows with counts.
    pub fn windows(&self) -> usize {
        self.windows.len()
    }

    fn drop_before(&mut self, window: u64) {
        let kept = self.windows.split_off(&window);
        let dropped = std::mem::replace(&mut self.windows, kept);
        self.lost += dropped.values().map(WindowCounts::not_handed_over).sum::<u64>();
    }
}
