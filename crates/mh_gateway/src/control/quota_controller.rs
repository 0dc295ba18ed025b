use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use mh_budget::{
    Adoption, Answer, Budget, BudgetHolder, EarlierUse, Handover, HandoverMsg, LendingSettings, Limiter, Msg, Outgoing,
    Owner, Owners, Slots, StageNumber, VmIdentity,
};
use mh_types::{OrgName, Revision, VmName};
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::{Plan, PlanOrg};

/// Burst of one slot, in requests, that the division into slots aims for. A smaller slot mostly holds a fraction of a
/// request, which admits nothing.
const TARGET_SLOT_BURST: f64 = mh_budget::MIN_SLOT_BURST_TOKENS as f64;

/// Most groups of slots. With 64 slots in each, every VM of a large fleet owns or borrows some.
const MAX_SLOT_GROUPS: f64 = 8.0;

/// Time between two ticks of an idle quota, shorter than the pause after which shares must be confirmed. Most quotas of
/// a large deployment are idle on most VMs.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the lending protocol. Short leases bound the double use after a restart and the time for which slots
/// that move to another VM are idle.
const LENDING_SETTINGS: LendingSettings = LendingSettings {
    lease: Duration::from_secs(2),
    safety_margin: Duration::from_millis(100),
    drift_ppm: 500,
    pause_limit: Duration::from_secs(2),
    renew_interval: Duration::from_millis(800),
    retry_timeout: Duration::from_millis(400),
};

/// Messages to VMs about the list of VMs, and VMs to ask for a request of an organisation's quota.
type HandoverQuestions = (Vec<(VmName, HandoverMsg)>, Vec<(VmName, OrgName)>);

/// This VM's shares of the organisations' quotas.
///
/// Slot ownership follows from the VM list in the store, so that all VMs compute the same owners without a write. As
/// their copies of the list may differ, a slot that this VM gains waits for the [`Handover`]. Unused shares are lent to
/// the VMs that need them.
#[derive(Debug)]
pub(crate) struct QuotaController {
    local: Arc<VmIdentity>,
    lending: Arc<LendingSettings>,
    handover: Handover,
    /// Stage of the handover in which slots wait that the present VM list assigns to this VM.
    stage: StageNumber,
    last_tick_at: Instant,
    shares: HashMap<OrgName, QuotaShare>,
    /// Inputs of the last synchronisation.
    last_sync: Option<SyncInputs>,
}

/// Plan and VM list from which shares were derived.
#[derive(Debug, PartialEq)]
struct SyncInputs {
    revision: Revision,
    vms: Vec<Owner>,
    /// When the list was read in full.
    read_at: Instant,
}

/// This VM's share of one quota.
#[derive(Debug)]
struct QuotaShare {
    holder: BudgetHolder,
    org: PlanOrg,
    groups: u16,
    adopted: Slots,
    /// Slots that the VM list assigns to this VM and that wait for the handover, by stage.
    pending: Vec<(StageNumber, Slots)>,
    /// Time of the holder's last tick.
    last_tick_at: Instant,
    /// Whether the quota replaces one with another division into slots. All VMs then start over within the time in
    /// which settings take effect, and the new limit binds only after that time, so loans of the old division need not
    /// be waited for.
    is_redivided: bool,
}

impl QuotaController {
    pub(crate) fn new(local: VmIdentity, now: Instant) -> Self {
        Self {
            local: Arc::new(local),
            lending: Arc::new(LENDING_SETTINGS),
            handover: Handover::new(&LENDING_SETTINGS),
            stage: 0,
            last_tick_at: now,
            shares: HashMap::new(),
            last_sync: None,
        }
    }

    /// Returns the pause of this process from which on its shares must be confirmed by a new read of the VM list.
    pub(crate) fn pause_limit() -> Duration {
        LENDING_SETTINGS.pause_limit
    }

    /// Derives shares from the plan and the VM list, whose read began at `read_at`.
    ///
    /// The owners depend on every organisation, slot and VM, so they are computed again only when an input changed.
    pub(crate) fn sync(&mut self, plan: &Plan, vms: &[Owner], read_at: Instant, now: Instant) {
        let inputs = SyncInputs {
            revision: plan.revision,
            vms: vms.to_vec(),
            read_at,
        };
        if self.last_sync.as_ref() == Some(&inputs) {
            return;
        }
        self.last_sync = Some(inputs);
        let names = vms.iter().map(|vm| &vm.vm);
        let stage = self.handover.set_list(now, &self.local.vm, names);
        let is_new = std::mem::replace(&mut self.stage, stage) != stage;
        let waits_in = Some(stage).filter(|stage| is_new || !self.handover.is_settled(*stage, now));
        let is_limited = |org: &PlanOrg| org.rate_per_s > 0.0;
        self.shares
            .retain(|name, _| plan.orgs.get(name).is_some_and(|org| is_limited(org)));
        let vms: Vec<HashedVm<'_>> = vms.iter().map(HashedVm::from).collect();
        for org in plan.orgs.values().filter(|org| is_limited(org)) {
            let groups = slot_groups(org.burst);
            self.sync_org(org, groups, now);
            self.assign(&org.name, &vms, read_at, waits_in, now);
        }
        self.adopt_settled(now);
    }

    fn sync_org(&mut self, org: &PlanOrg, groups: u16, now: Instant) {
        // A quota with a burst below one request still admits a request from time to time.
        let Ok(budget) = Budget::new(org.name.as_str().into(), org.rate_per_s, org.burst.max(1.0)) else {
            return;
        };
        match self.shares.get_mut(&org.name) {
            Some(share) if share.org == *org && share.groups == groups => {}
            // The same burst gives the same slots.
            Some(share) if share.org.burst.to_bits() == org.burst.to_bits() && share.groups == groups => {
                share.holder.set_budget(now, Arc::new(budget));
                share.org = org.clone();
            }
            before => {
                let is_redivided = before.is_some();
                let spread = hash(&[self.local.vm.as_str(), org.name.as_str()]);
                let (local, lending) = (Arc::clone(&self.local), Arc::clone(&self.lending));
                let share = QuotaShare {
                    holder: BudgetHolder::new(now, local, Arc::new(budget), lending, groups, spread),
                    org: org.clone(),
                    groups,
                    adopted: Slots::default(),
                    pending: Vec::new(),
                    last_tick_at: now,
                    is_redivided,
                };
                self.shares.insert(org.name.clone(), share);
            }
        }
    }

    /// Adopts and releases slots, so that this VM holds those that the VM list assigns to it. Gained slots wait in the stage
    /// `waits_in` of the handover, if any.
    fn assign(
        &mut self,
        org: &OrgName,
        vms: &[HashedVm<'_>],
        read_at: Instant,
        waits_in: Option<StageNumber>,
        now: Instant,
    ) {
        let Some(share) = self.shares.get_mut(org) else { return };
        let owners = owners(org, share.holder.division().slots(), vms);
        let own_slots: Slots = owners
            .iter()
            .filter(|(_, owner)| owner.vm == self.local.vm)
            .map(|(slot, _)| *slot)
            .collect();
        share.holder.confirm(now, read_at, &share.adopted);
        let (kept, lost): (Vec<u16>, Vec<u16>) = share.adopted.iter().partition(|slot| own_slots.contains(*slot));
        if !lost.is_empty() {
            share.holder.release_slots(now, &lost.into_iter().collect());
            // Slots that are not lent are free for their next owner at once.
            let _ = share.holder.poll_released(now);
        }
        share.adopted = kept.into_iter().collect();
        for (_, slots) in &mut share.pending {
            *slots = slots.iter().filter(|slot| own_slots.contains(*slot)).collect();
        }
        share.pending.retain(|(_, slots)| !slots.is_empty());
        let is_known =
            |slot: u16| share.adopted.contains(slot) || share.pending.iter().any(|(_, slots)| slots.contains(slot));
        let gained: Slots = own_slots.iter().filter(|slot| !is_known(*slot)).collect();
        let is_redivided = waits_in.is_none() && std::mem::take(&mut share.is_redivided);
        match waits_in {
            _ if gained.is_empty() => {}
            Some(stage) => share.pending.push((stage, gained)),
            None => {
                let adoption = if is_redivided {
                    Adoption::HandedOver
                } else {
                    Adoption::TakenOver
                };
                share.holder.adopt_slots(now, now, &gained, adoption);
                share.adopted = share.adopted.iter().chain(gained.iter()).collect();
            }
        }
        let mut lenders: Vec<Owner> = Vec::new();
        for (_, owner) in owners {
            if lenders.iter().all(|known| known.vm != owner.vm) {
                lenders.push(owner.clone());
            }
        }
        share
            .holder
            .set_owners(now, Arc::new(lenders.into_iter().collect::<Owners>()));
    }

    /// Returns the limiters that requests use, by organisation.
    pub(crate) fn limiters(&self) -> HashMap<OrgName, Limiter> {
        let shares = self.shares.iter();
        shares
            .map(|(name, share)| (name.clone(), share.holder.limiter().clone()))
            .collect()
    }

    /// Ticks the holders and returns the messages to send.
    pub(crate) fn on_tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if now.saturating_duration_since(self.last_tick_at) >= self.lending.pause_limit {
            self.handover.restart(now);
        }
        self.last_tick_at = now;
        self.adopt_settled(now);
        for share in self.shares.values_mut() {
            if share.holder.is_quiet() && now < share.last_tick_at + IDLE_TICK_INTERVAL {
                share.holder.note_running(now);
                continue;
            }
            share.last_tick_at = now;
            out.extend(share.holder.on_tick(now));
            // Released slots that are no longer lent belong to their next owner, which waits for that.
            let _ = share.holder.poll_released(now);
        }
        out
    }

    /// Starts using the slots whose stage of the handover is settled.
    fn adopt_settled(&mut self, now: Instant) {
        let handover = &self.handover;
        for share in self.shares.values_mut().filter(|share| !share.pending.is_empty()) {
            let is_settled = |(stage, _): &(StageNumber, Slots)| handover.is_settled(*stage, now);
            let (settled, waiting): (Vec<_>, Vec<_>) =
                std::mem::take(&mut share.pending).into_iter().partition(is_settled);
            share.pending = waiting;
            for (_, slots) in settled {
                share.holder.adopt_slots(now, now, &slots, Adoption::HandedOver);
                share.adopted = share.adopted.iter().chain(slots.iter()).collect();
            }
        }
        let shares = &self.shares;
        let waits = |stage| {
            let mut pending = shares.values().flat_map(|share| &share.pending);
            pending.any(|(held, _)| *held == stage)
        };
        self.handover.retain(waits);
    }

    /// Returns whether slots wait for the handover.
    pub(crate) fn waits_for_handover(&self) -> bool {
        self.shares.values().any(|share| !share.pending.is_empty())
    }

    /// Returns the questions to other VMs about their lists of VMs. Those that answer nothing may run an earlier version;
    /// each of them is returned with an organisation whose quota it can be asked for. `is_gone` tells VMs that answer
    /// nobody.
    pub(crate) fn handover_questions(&mut self, now: Instant, is_gone: impl Fn(&VmName) -> bool) -> HandoverQuestions {
        let asked = self.handover.on_tick(now, is_gone);
        let org = self.shares.keys().next();
        let unanswered = self.handover.unanswered(now).filter(|vm| asked.contains(vm));
        let probes = unanswered.filter_map(|vm| Some((vm.clone(), org?.clone())));
        let probes = probes.collect();
        let questions = asked.iter().map(|vm| (vm.clone(), self.handover_msg(vm, true, now)));
        (questions.collect(), probes)
    }

    /// Returns the message to `to` about the list of VMs from which shares are derived.
    fn handover_msg(&self, to: &VmName, needs_answer: bool, now: Instant) -> HandoverMsg {
        let holders = || self.shares.values().map(|share| &share.holder);
        let earlier_use = if holders().any(|holder| holder.borrows_from(to)) {
            EarlierUse::BorrowsFromReceiver
        } else if holders().any(|holder| holder.is_releasing() || !holder.borrowed_share().is_empty()) {
            EarlierUse::Possible
        } else {
            EarlierUse::Ended
        };
        self.handover.msg(now, earlier_use, needs_answer)
    }

    /// Handles what another VM says about its list; returns the answer that it needs.
    pub(crate) fn on_handover(&mut self, from: &VmName, msg: &HandoverMsg, now: Instant) -> Option<HandoverMsg> {
        self.handover.on_msg(now, from, msg);
        self.adopt_settled(now);
        msg.needs_answer.then(|| self.handover_msg(from, false, now))
    }

    /// Records that a VM of an earlier version has this VM in its list.
    pub(crate) fn on_listed_by(&mut self, vm: &VmName, now: Instant) {
        self.handover.on_listed_by(now, vm);
    }

    /// Handles messages of another VM and returns the answers.
    pub(crate) fn on_msgs(&mut self, from: &VmName, msgs: &[Msg], now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for msg in msgs {
            if let Some(share) = self.shares.get_mut(msg.budget.as_str()) {
                out.extend(share.holder.on_msg(now, from, msg));
            }
        }
        out
    }

    /// Decides a token request of another VM from this VM's share; `None` for an unknown organisation.
    pub(crate) fn decide_for_peer(&self, org: &OrgName) -> Option<Answer> {
        let limiter = self.shares.get(org)?.holder.limiter();
        Some(limiter.decide_for_peer(Instant::now, 1))
    }
}

/// Returns the number of groups of slots for a quota, so that there are as many slots as its burst allows. It depends
/// on the burst alone, because a new division makes every VM wait for the loans of the old one.
fn slot_groups(burst: f64) -> u16 {
    let slots = (burst / TARGET_SLOT_BURST).max(1.0);
    (slots / f64::from(mh_budget::MAX_SLOTS_PER_DOMAIN))
        .ceil()
        .min(MAX_SLOT_GROUPS) as u16
}

/// Returns the owner of each slot of an organisation's quota by rendezvous hashing: the listed VM with the highest
/// weight that does not yet own its even part. A change of the list moves few slots.
fn owners<'a>(org: &OrgName, slots: u16, vms: &'a [HashedVm<'a>]) -> Vec<(u16, &'a Owner)> {
    let max_per_vm = usize::from(slots).div_ceil(vms.len().max(1));
    let org_hash = hash(&[org.as_str()]);
    let mut owned_counts: Vec<usize> = vec![0; vms.len()];
    let mut out = Vec::with_capacity(usize::from(slots));
    for slot in 0..slots {
        let slot_hash = splitmix64(org_hash ^ u64::from(slot));
        let candidates = vms
            .iter()
            .enumerate()
            .filter(|(index, _)| owned_counts[*index] < max_per_vm);
        if let Some((index, owner)) = candidates.max_by_key(|(_, vm)| splitmix64(vm.hash ^ slot_hash)) {
            owned_counts[index] += 1;
            out.push((slot, owner.vm));
        }
    }
    out
}

/// A VM with the hash of its name, computed once for all slots and organisations.
struct HashedVm<'a> {
    vm: &'a Owner,
    hash: u64,
}

impl<'a> From<&'a Owner> for HashedVm<'a> {
    fn from(vm: &'a Owner) -> Self {
        Self {
            hash: hash(&[vm.vm.as_str()]),
            vm,
        }
    }
}

/// Spreads the bits of `x` evenly (the finaliser of `SplitMix64`).
fn splitmix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns a hash that is the same on every VM.
fn hash(parts: &[&str]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}

#[cfg(test)]
#[path = "../../tests/unit/quota_controller.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/quota_simulation.rs"]
mod simulation;
