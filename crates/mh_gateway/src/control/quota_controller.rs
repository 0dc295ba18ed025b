use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use mh_budget::{
    Adoption, Answer, Budget, Holder, LendingSettings, Limiter, Msg, Outgoing, Owner, Owners, Slots, VmIdentity,
};
use mh_types::{OrgName, Revision, VmName};
use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use crate::{AnnouncedVm, Plan, PlanOrg};

/// Burst of one slot, in requests, that the division into slots aims at; smaller slots are mostly a part of a request
/// that admits nothing yet.
const SLOT_BURST: f64 = mh_budget::MIN_SLOT_BURST as f64;

/// Most groups of slots; with 64 slots each VM of a large fleet owns or borrows a part.
const MAX_GROUPS: f64 = 8.0;

/// Time after the start in which a VM uses its slots at once, without the burst. Its earlier process may have lent a part
/// of them for one lease; that part can be used twice for as long, which the tolerance of quotas covers. Waiting instead
/// would refuse every request for a lease after a restart of all VMs.
const START: Duration = Duration::from_secs(4);

/// Time between two ticks of a quota that nobody asks for, within the pause after which shares must be confirmed. Most
/// quotas of a large deployment are quiet on most VMs.
const QUIET_TICK: Duration = Duration::from_secs(1);

/// Times of the lending. Leases are short, as they bound that double use, and the time for which slots that move to
/// another VM lie idle.
const LENDING: LendingSettings = LendingSettings {
    lease: Duration::from_secs(2),
    guard: Duration::from_millis(100),
    drift_ppm: 500,
    pause_limit: Duration::from_secs(2),
    renew: Duration::from_millis(800),
    retry: Duration::from_millis(400),
};

/// This VM's shares of the organisations' quotas.
///
/// Which VM owns which slots of a quota follows from the list of VMs in the store, so that every VM finds the same
/// owners without a write. Unused shares are lent to the VMs that need them.
#[derive(Debug)]
pub(crate) struct QuotaController {
    me: Arc<VmIdentity>,
    lending: Arc<LendingSettings>,
    started: Instant,
    parts: HashMap<OrgName, Part>,
    /// What the shares were last derived from.
    synced: Option<Synced>,
}

/// Plan and list of VMs that shares were derived from.
#[derive(Debug, PartialEq)]
struct Synced {
    revision: Revision,
    vms: Vec<AnnouncedVm>,
    /// When the list was read as a whole.
    read_at: Instant,
}

/// This VM's share of one quota.
#[derive(Debug)]
struct Part {
    holder: Holder,
    org: PlanOrg,
    domains: u16,
    adopted: Slots,
    /// When the holder last did what was due.
    ticked: Instant,
    /// Whether the quota replaces one that was cut otherwise. Every VM then begins anew within the time in which settings
    /// take effect, and the new limit binds only after it, so nothing that the old cut left behind need be waited for.
    is_recut: bool,
}

impl QuotaController {
    pub(crate) fn new(me: VmIdentity, now: Instant) -> Self {
        Self {
            me: Arc::new(me),
            lending: Arc::new(LENDING),
            started: now,
            parts: HashMap::new(),
            synced: None,
        }
    }

    /// Longest pause of this process after which its shares must be confirmed by a new read of the list.
    pub(crate) fn pause_limit() -> Duration {
        LENDING.pause_limit
    }

    /// Takes in the plan and the list of VMs, which was read from `read_at` on.
    ///
    /// Who owns which slot is a matter of every organisation, slot and VM, so it is derived anew only when one of them
    /// changed.
    pub(crate) fn sync(&mut self, plan: &Plan, vms: &[AnnouncedVm], read_at: Instant, now: Instant) {
        let synced = Synced {
            revision: plan.revision,
            vms: vms.to_vec(),
            read_at,
        };
        if self.synced.as_ref() == Some(&synced) {
            return;
        }
        self.synced = Some(synced);
        let limited = |org: &PlanOrg| org.rate_per_s > 0.0;
        self.parts
            .retain(|name, _| plan.orgs.get(name).is_some_and(|org| limited(org)));
        let vms: Vec<HashedVm<'_>> = vms.iter().map(HashedVm::from).collect();
        for org in plan.orgs.values().filter(|org| limited(org)) {
            let domains = slot_groups(org.burst);
            self.sync_org(org, domains, now);
            self.assign(&org.name, &vms, read_at, now);
        }
    }

    fn sync_org(&mut self, org: &PlanOrg, domains: u16, now: Instant) {
        // A quota below one request at once admits one now and then.
        let Ok(budget) = Budget::new(org.name.as_str().into(), org.rate_per_s, org.burst.max(1.0)) else {
            return;
        };
        match self.parts.get_mut(&org.name) {
            Some(part) if part.org == *org && part.domains == domains => {}
            // With the same burst the slots stay as they are.
            Some(part) if part.org.burst.to_bits() == org.burst.to_bits() && part.domains == domains => {
                part.holder.set_budget(now, Arc::new(budget));
                part.org = org.clone();
            }
            before => {
                let is_recut = before.is_some();
                let spread = hash(&[self.me.vm.as_str(), org.name.as_str()]);
                let (me, lending) = (Arc::clone(&self.me), Arc::clone(&self.lending));
                let part = Part {
                    holder: Holder::new(now, me, Arc::new(budget), lending, domains, spread),
                    org: org.clone(),
                    domains,
                    adopted: Slots::default(),
                    ticked: now,
                    is_recut,
                };
                self.parts.insert(org.name.clone(), part);
            }
        }
    }

    /// Adopts and releases slots, so that this VM holds those that the list gives it.
    fn assign(&mut self, org: &OrgName, vms: &[HashedVm<'_>], read_at: Instant, now: Instant) {
        let is_start = now < self.started + START;
        let Some(part) = self.parts.get_mut(org) else { return };
        let owners = owners(org, part.holder.division().slots(), vms);
        let own: Slots = owners
            .iter()
            .filter(|(_, owner)| owner.vm == self.me.vm)
            .map(|(slot, _)| *slot)
            .collect();
        let gained: Slots = own.iter().filter(|slot| !part.adopted.contains(*slot)).collect();
        let lost: Slots = part.adopted.iter().filter(|slot| !own.contains(*slot)).collect();
        part.holder.confirm(now, read_at, &part.adopted);
        if !lost.is_empty() {
            part.holder.release_slots(now, &lost);
        }
        if !gained.is_empty() {
            let adoption = if is_start || std::mem::take(&mut part.is_recut) {
                Adoption::HandedOver
            } else {
                Adoption::TakenOver
            };
            part.holder.adopt_slots(now, now, &gained, adoption);
        }
        part.adopted = own;
        let mut lenders: Vec<Owner> = Vec::new();
        for (_, owner) in owners {
            if lenders.iter().all(|known| known.vm != owner.vm) {
                lenders.push(Owner {
                    vm: owner.vm.clone(),
                    domain: owner.domain.clone(),
                });
            }
        }
        part.holder
            .set_owners(now, Arc::new(lenders.into_iter().collect::<Owners>()));
    }

    /// What requests use.
    pub(crate) fn limiters(&self) -> HashMap<OrgName, Limiter> {
        let parts = self.parts.iter();
        parts
            .map(|(name, part)| (name.clone(), part.holder.limiter().clone()))
            .collect()
    }

    /// Does what is due and returns the messages to send.
    pub(crate) fn on_tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for part in self.parts.values_mut() {
            if part.holder.is_quiet() && now < part.ticked + QUIET_TICK {
                continue;
            }
            part.ticked = now;
            out.extend(part.holder.on_tick(now));
            // Slots that were given up and are no longer lent belong to their next owner, which waits for that.
            let _ = part.holder.poll_released(now);
        }
        out
    }

    /// Takes in messages of another VM and returns the answers.
    pub(crate) fn on_msgs(&mut self, from: &VmName, msgs: &[Msg], now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for msg in msgs {
            if let Some(part) = self.parts.get_mut(msg.budget.as_str()) {
                out.extend(part.holder.on_msg(now, from, msg));
            }
        }
        out
    }

    /// Takes one request from this VM's share for another VM; `None` for an unknown organisation.
    pub(crate) fn take(&self, org: &OrgName) -> Option<Answer> {
        let limiter = self.parts.get(org)?.holder.limiter();
        Some(limiter.decide_for_peer(Instant::now, 1))
    }
}

/// Number of groups that a quota is cut into, so that there are as many slots as its burst allows. It depends on the
/// burst alone: a new cut makes every VM wait for the loans of the old one.
fn slot_groups(burst: f64) -> u16 {
    let slots = (burst / SLOT_BURST).max(1.0);
    (slots / f64::from(mh_budget::MAX_SLOTS_PER_DOMAIN))
        .ceil()
        .min(MAX_GROUPS) as u16
}

/// The owner of each slot of an organisation's quota: the listed VM with the highest weight that does not yet have its
/// even part. A change of the list moves few slots.
fn owners<'a>(org: &OrgName, slots: u16, vms: &'a [HashedVm<'a>]) -> Vec<(u16, &'a AnnouncedVm)> {
    let most = usize::from(slots).div_ceil(vms.len().max(1));
    let of_org = hash(&[org.as_str()]);
    let mut taken: Vec<usize> = vec![0; vms.len()];
    let mut out = Vec::with_capacity(usize::from(slots));
    for slot in 0..slots {
        let of_slot = mix(of_org ^ u64::from(slot));
        let open = vms.iter().enumerate().filter(|(place, _)| taken[*place] < most);
        if let Some((place, owner)) = open.max_by_key(|(_, vm)| mix(vm.hash ^ of_slot)) {
            taken[place] += 1;
            out.push((slot, owner.vm));
        }
    }
    out
}

/// A VM with the hash of its name, which is used for every slot of every organisation.
struct HashedVm<'a> {
    vm: &'a AnnouncedVm,
    hash: u64,
}

impl<'a> From<&'a AnnouncedVm> for HashedVm<'a> {
    fn from(vm: &'a AnnouncedVm) -> Self {
        Self {
            hash: hash(&[vm.vm.as_str()]),
            vm,
        }
    }
}

/// Spreads the bits of `x` evenly (the finaliser of `SplitMix64`).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash that every VM computes alike.
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
