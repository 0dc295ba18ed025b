use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use mh_types::VmName;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{HandoverMsg, LendingSettings};

/// Time between two questions to a VM that has not confirmed a list.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Most VMs that are asked in one tick; bounds the datagrams that a list of many VMs causes at once.
const MAX_ASKED_PER_TICK: usize = 256;

/// Time without any answer after which a VM may run a version that knows no handover.
const UNANSWERED_TIME: Duration = Duration::from_millis(1200);

/// Agreement with the other VMs on who owns which slots, where each derives the owners from its own copy of a list.
///
/// Two VMs with different lists may both consider themselves the owner of a slot. A VM that gains slots by a list
/// therefore uses them only when every other VM of that list has confirmed a list by which the slots belong to the new
/// owner, and when what the others did by their earlier lists, and the loans that they gave, have ended. It keeps using
/// slots that it had before, so that VMs which are cut off from the source of the list go on.
///
/// A confirmation stays valid as long as the VM goes on claiming the slots: another one could gain them only with the
/// confirmation of this one. Slots that were gained together wait together, in a *stage*; later changes of the list
/// begin further stages and do not delay earlier ones.
///
/// A VM that is gone counts as agreed once a process that was only paused would have to confirm its slots again.
#[derive(Debug)]
pub struct Handover {
    takeover_wait: Duration,
    /// Digest of the list; `None` before the first one.
    digest: Option<u64>,
    /// When this VM stopped using an earlier list.
    changed_at: Option<Instant>,
    /// Stages with slots that wait, and last that of the present list.
    stages: Vec<Stage>,
    /// The other VMs of the present list.
    peers: BTreeMap<VmName, Peer>,
}

/// What a VM may still do, besides the use of the slots that its present list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierUse {
    /// It has a loan of the VM that it answers.
    BorrowsFromReceiver,
    /// It has loans of others, which may have been restarted or have lost the slots, or lends slots that it has lost.
    Possible,
    /// Neither.
    Ended,
}

/// Number of a stage, in order of their beginning.
pub type StageNumber = u64;

/// Slots that were gained by the same list.
#[derive(Debug)]
struct Stage {
    number: StageNumber,
    /// Digests of the lists since the beginning, by all of which the slots belong to this VM.
    digests: SmallVec<[u64; 4]>,
    asked_at: Option<Instant>,
    /// When the slots of VMs that left the list may be used at the earliest.
    not_before: Option<Instant>,
    /// When what each other VM did by earlier lists has ended; `None` until it has confirmed a list.
    ready_at: BTreeMap<VmName, Option<Instant>>,
}

/// Another listed VM.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    asked_at: Option<Instant>,
    next_question_at: Option<Instant>,
    has_answered: bool,
}

impl Stage {
    fn is_settled(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|at| now >= at) && self.ready_at.values().all(|at| at.is_some_and(|at| now >= at))
    }

    /// Records when the earlier use of `vm` ends at the latest; each statement is valid, so the earliest one counts.
    fn confirm(&mut self, vm: &VmName, ready_at: Instant) {
        if let Some(held) = self.ready_at.get_mut(vm) {
            *held = Some(held.map_or(ready_at, |held| held.min(ready_at)));
        }
    }

    /// Whether `vm` has not confirmed a list, or what it did by earlier ones has not ended.
    fn waits_for(&self, vm: &VmName, now: Instant) -> bool {
        self.ready_at.get(vm).is_some_and(|at| at.is_none_or(|at| now < at))
    }
}

impl Handover {
    /// Creates the state of a process that has used no slots yet.
    pub fn new(settings: &LendingSettings) -> Self {
        Self {
            takeover_wait: settings.takeover_wait(),
            digest: None,
            changed_at: None,
            stages: Vec::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Sets the list of VMs, in any order; returns the stage in which slots wait that are gained by it. The caller must no
    /// longer use or claim slots that only the earlier list gave it.
    pub fn set_list<'a>(&mut self, now: Instant, local: &VmName, vms: impl Iterator<Item = &'a VmName>) -> StageNumber {
        let mut vms: Vec<&VmName> = vms.collect();
        vms.sort_unstable();
        let digest = digest(&vms);
        let last = self.stages.last().map_or(0, |stage| stage.number);
        if self.digest == Some(digest) {
            return last;
        }
        self.changed_at = self.digest.is_some().then_some(now);
        self.digest = Some(digest);
        let is_listed = |vm: &VmName| vms.binary_search(&vm).is_ok();
        let not_before = now + self.takeover_wait;
        let has_lost_one = self.peers.keys().any(|vm| !is_listed(vm));
        for stage in &mut self.stages {
            stage.digests.push(digest);
            let count = stage.ready_at.len();
            stage
                .ready_at
                .retain(|vm, ready_at| ready_at.is_some() || is_listed(vm));
            if stage.ready_at.len() < count {
                stage.not_before = Some(not_before);
            }
        }
        let others = || vms.iter().copied().filter(|vm| *vm != local);
        self.stages.push(Stage {
            number: last + 1,
            digests: SmallVec::from_slice(&[digest]),
            asked_at: None,
            not_before: has_lost_one.then_some(not_before),
            ready_at: others().map(|vm| (vm.clone(), None)).collect(),
        });
        let mut before = std::mem::take(&mut self.peers);
        self.peers = others()
            .map(|vm| (vm.clone(), before.remove(vm).unwrap_or_default()))
            .collect();
        last + 1
    }

    /// Starts over after a pause of this process, in which the others may have taken it for gone.
    pub fn restart(&mut self, now: Instant) {
        for stage in &mut self.stages {
            stage.not_before = Some(now + self.takeover_wait);
            stage.asked_at = None;
            stage.ready_at.values_mut().for_each(|at| *at = None);
        }
        self.peers.values_mut().for_each(|peer| *peer = Peer::default());
    }

    /// Returns whether the slots that wait in a stage may be used.
    pub fn is_settled(&self, stage: StageNumber, now: Instant) -> bool {
        let found = self.stages.iter().find(|held| held.number == stage);
        found.is_some_and(|stage| stage.is_settled(now))
    }

    /// Forgets stages in which no slots wait, except that of the present list.
    pub fn retain(&mut self, waits: impl Fn(StageNumber) -> bool) {
        let last = self.stages.last().map(|stage| stage.number);
        self.stages
            .retain(|stage| waits(stage.number) || Some(stage.number) == last);
    }

    /// Returns the VMs to ask for their lists. `is_gone` tells VMs that answer nobody.
    pub fn on_tick(&mut self, now: Instant, is_gone: impl Fn(&VmName) -> bool) -> SmallVec<[VmName; 4]> {
        for stage in &mut self.stages {
            let asked_at = *stage.asked_at.get_or_insert(now);
            if now >= asked_at + self.takeover_wait {
                let waiting = stage.ready_at.iter_mut().filter(|(_, at)| at.is_none());
                waiting
                    .filter(|(vm, _)| is_gone(vm))
                    .for_each(|(_, at)| *at = Some(now));
            }
        }
        let stages = &self.stages;
        // A VM that has confirmed a list may have ended its earlier use since.
        let is_waited_for = |vm: &VmName| stages.iter().any(|stage| stage.waits_for(vm, now));
        let is_due = |peer: &Peer| peer.next_question_at.is_none_or(|at| now >= at);
        let due = self
            .peers
            .iter_mut()
            .filter(|(vm, peer)| is_due(peer) && is_waited_for(vm));
        let asked = due.take(MAX_ASKED_PER_TICK).map(|(vm, peer)| {
            peer.asked_at.get_or_insert(now);
            peer.next_question_at = Some(now + ASK_INTERVAL);
            vm.clone()
        });
        asked.collect()
    }

    /// Records the list of another VM.
    pub fn on_msg(&mut self, now: Instant, from: &VmName, msg: &HandoverMsg) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.has_answered = true;
        }
        let ready_at = now + self.takeover_wait.saturating_sub(msg.held);
        let confirmed = self
            .stages
            .iter_mut()
            .filter(|stage| stage.digests.contains(&msg.digest));
        confirmed.for_each(|stage| stage.confirm(from, ready_at));
    }

    /// Returns the VMs that have answered nothing for some time, because they run an earlier version or are not up. For
    /// the former, the caller must find out otherwise whether they have this VM in their lists.
    pub fn unanswered(&self, now: Instant) -> impl Iterator<Item = &VmName> {
        let is_silent = move |peer: &Peer| {
            let is_old = peer.asked_at.is_some_and(|at| now >= at + UNANSWERED_TIME);
            !peer.has_answered && is_old
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| is_silent(peer))
            .map(|(vm, _)| vm)
    }

    /// Records that `vm`, which knows no handover, has this VM in its list.
    pub fn on_listed_by(&mut self, now: Instant, vm: &VmName) {
        let ready_at = now + self.takeover_wait;
        self.stages.iter_mut().for_each(|stage| stage.confirm(vm, ready_at));
    }

    /// Returns the message about this VM's list. A list that changed alone causes no wait: many VMs that are started
    /// change each other's lists, although none of them has used a slot yet.
    pub fn msg(&self, now: Instant, earlier_use: EarlierUse, needs_answer: bool) -> HandoverMsg {
        let held = match (earlier_use, self.changed_at) {
            (EarlierUse::BorrowsFromReceiver, _) => Duration::ZERO,
            (EarlierUse::Possible, Some(at)) => now.saturating_duration_since(at),
            (EarlierUse::Possible | EarlierUse::Ended, _) => Duration::MAX,
        };
        HandoverMsg {
            digest: self.digest.unwrap_or_default(),
            held,
            needs_answer,
        }
    }
}

/// Returns a digest of names in ascending order that is the same on every VM, and not zero.
fn digest(vms: &[&VmName]) -> u64 {
    let mut hasher = SipHasher13::new();
    for vm in vms {
        hasher.write(vm.as_str().as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish().max(1)
}
