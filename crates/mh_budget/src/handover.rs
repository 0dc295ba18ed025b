use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use mh_types::VmName;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{HandoverMsg, LendingSettings};

/// Time between two questions to a VM that has not confirmed the list.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Most VMs that are asked in one tick; bounds the datagrams that a list of many VMs causes at once.
const MAX_ASKED_PER_TICK: usize = 256;

/// Time without any answer after which a VM may run a version that knows no handover.
const UNANSWERED_TIME: Duration = Duration::from_millis(1200);

/// Agreement with the other VMs on the list from which each of them derives who owns which slots.
///
/// Two VMs with different lists may both consider themselves the owner of a slot. A VM that gains slots therefore uses
/// them only when every other listed VM derives its slots from the same list, and when what the others did by their
/// earlier lists, and the loans that they gave, have ended. It keeps using slots that it had before, so that VMs which
/// are cut off from the source of the list go on.
///
/// A VM that is gone counts as agreed once a process that was only paused would have to confirm its slots again.
#[derive(Debug)]
pub struct Handover {
    takeover_wait: Duration,
    /// Digest of the list; `None` before the first one.
    digest: Option<u64>,
    /// When this VM stopped using an earlier list.
    changed_at: Option<Instant>,
    /// When the slots of VMs that left the list may be used at the earliest.
    not_before: Option<Instant>,
    peers: BTreeMap<VmName, Peer>,
}

/// Another listed VM.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    asked_at: Option<Instant>,
    next_question_at: Option<Instant>,
    has_answered: bool,
    /// When what it did by earlier lists has ended; `None` until it has confirmed the list.
    ready_at: Option<Instant>,
}

impl Handover {
    /// Creates the state of a process that has used no slots yet.
    pub fn new(settings: &LendingSettings) -> Self {
        Self {
            takeover_wait: settings.takeover_wait(),
            digest: None,
            changed_at: None,
            not_before: None,
            peers: BTreeMap::new(),
        }
    }

    /// Sets the list of VMs, in any order. The caller must no longer use slots that only the earlier list gave it.
    pub fn set_list<'a>(&mut self, now: Instant, local: &VmName, vms: impl Iterator<Item = &'a VmName>) {
        let mut vms: Vec<&VmName> = vms.collect();
        vms.sort_unstable();
        let digest = digest(&vms);
        if self.digest == Some(digest) {
            return;
        }
        self.changed_at = self.digest.is_some().then_some(now);
        self.digest = Some(digest);
        if self.peers.keys().any(|vm| !vms.contains(&vm)) {
            self.not_before = Some(now + self.takeover_wait);
        }
        let others = vms.into_iter().filter(|vm| *vm != local);
        self.peers = others.map(|vm| (vm.clone(), Peer::default())).collect();
    }

    /// Starts over after a pause of this process, in which the others may have taken it for gone.
    pub fn restart(&mut self, now: Instant) {
        self.not_before = Some(now + self.takeover_wait);
        self.peers.values_mut().for_each(|peer| *peer = Peer::default());
    }

    /// Returns whether slots that this VM gained by the list may be used.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.digest.is_some()
            && self.not_before.is_none_or(|at| now >= at)
            && self
                .peers
                .values()
                .all(|peer| peer.ready_at.is_some_and(|at| now >= at))
    }

    /// Returns the VMs to ask for their lists. `is_gone` tells VMs that answer nobody.
    pub fn on_tick(&mut self, now: Instant, is_gone: impl Fn(&VmName) -> bool) -> SmallVec<[VmName; 4]> {
        let mut questions = SmallVec::new();
        for (vm, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.ready_at.is_none()) {
            let asked_at = *peer.asked_at.get_or_insert(now);
            if now >= asked_at + self.takeover_wait && is_gone(vm) {
                peer.ready_at = Some(now);
            } else if peer.next_question_at.is_none_or(|at| now >= at) && questions.len() < MAX_ASKED_PER_TICK {
                peer.next_question_at = Some(now + ASK_INTERVAL);
                questions.push(vm.clone());
            }
        }
        questions
    }

    /// Records the list of another VM.
    pub fn on_msg(&mut self, now: Instant, from: &VmName, msg: &HandoverMsg) {
        let ready_at = now + self.takeover_wait.saturating_sub(msg.held);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.has_answered = true;
            if self.digest == Some(msg.digest) {
                peer.ready_at.get_or_insert(ready_at);
            }
        }
    }

    /// Returns the VMs that have answered nothing for some time. Whether one that runs an earlier version has this VM in
    /// its list must be found out in another way.
    pub fn unanswered(&self, now: Instant) -> impl Iterator<Item = &VmName> {
        let is_silent = move |peer: &Peer| {
            let is_old = peer.asked_at.is_some_and(|at| now >= at + UNANSWERED_TIME);
            peer.ready_at.is_none() && !peer.has_answered && is_old
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| is_silent(peer))
            .map(|(vm, _)| vm)
    }

    /// Records that `vm`, which knows no handover, has this VM in its list.
    pub fn on_listed_by(&mut self, now: Instant, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.ready_at.get_or_insert(now + self.takeover_wait);
        }
    }

    /// Returns the message about this VM's list; `borrows` is whether the receiver has lent it something.
    pub fn msg(&self, now: Instant, borrows: bool, needs_answer: bool) -> HandoverMsg {
        let held = match self.changed_at {
            _ if borrows => Duration::ZERO,
            Some(at) => now.saturating_duration_since(at),
            None => Duration::MAX,
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
