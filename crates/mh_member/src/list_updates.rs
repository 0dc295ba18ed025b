use std::collections::BTreeSet;

use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use crate::{Health, Member, MemberState, Membership, Record, VmList, VmListEntry};

impl Membership {
    /// Applies one read of the platform's VM list.
    ///
    /// A listed VM that is unknown is added as a member with incarnation 0 until it is heard. A VM is removed once it
    /// has been missing from the list for longer than [`Config::list_lag`](crate::Config::list_lag), even if it is
    /// still heard; it is added again when it is listed again or has a higher incarnation. An empty list, or one that
    /// lacks more than half of the alive members, is ignored.
    pub fn on_list(&mut self, now: Instant, list: &VmList) {
        // The clock is not advanced here: pauses of the process are detected on ticks and messages only.
        if list.vms.is_empty() {
            return;
        }
        let listed: BTreeSet<&VmName> = list.vms.iter().map(|vm| &vm.vm).collect();
        let alive_count = self.view.alive().count();
        let missing = self
            .view
            .alive()
            .filter(|m| m.listed && !listed.contains(&m.record.vm))
            .count();
        if 2 * missing > alive_count {
            return;
        }
        self.view.list_at = Some(now);
        for vm in &list.vms {
            self.add_listed_vm(vm);
            self.mark_listed(vm);
        }
        self.mark_unlisted(now, &listed);
        self.update_dirty_domains();
    }

    pub(crate) fn add_listed_vm(&mut self, vm: &VmListEntry) {
        if self.view.members.contains_key(&vm.vm) {
            return;
        }
        let record = Record {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
            region: vm.region.clone(),
            addr: vm.addr,
            incarnation: Incarnation(0),
            seq: 0,
            health: Health::Alive,
            leaving: false,
            payload: 0,
        };
        self.insert(Member::new(record, self.view.now));
    }

    fn mark_listed(&mut self, vm: &VmListEntry) {
        let Some(member) = self.view.members.get_mut(&vm.vm) else {
            return;
        };
        let before = member.individual_state();
        (member.listed, member.removed, member.unlisted_at) = (true, false, None);
        let is_local = vm.vm == self.view.local_vm;
        member.listed_leaving = vm.leaving && !is_local;
        // The address in the record of a VM that is heard is more reliable than the one on the list.
        let is_unheard = member.record.incarnation.0 == 0 || member.record.health != Health::Alive;
        let (preferred, fallback) = if is_unheard {
            (vm.addr, member.record.addr)
        } else {
            (member.record.addr, vm.addr)
        };
        member.record.addr = preferred.or(fallback);
        if is_local {
            self.view.local_unlisted_at = None;
        }
        if before != member.individual_state() {
            self.dirty_domains.insert(member.record.domain.clone());
        }
    }

    fn mark_unlisted(&mut self, now: Instant, listed: &BTreeSet<&VmName>) {
        for (vm, member) in &mut self.view.members {
            if !member.listed || listed.contains(vm) {
                continue;
            }
            let since = *member.unlisted_at.get_or_insert(now);
            if *vm == self.view.local_vm {
                self.view.local_unlisted_at = Some(since);
            } else if now.saturating_duration_since(since) > self.cfg.list_lag && !member.removed {
                (member.removed, member.listed, member.dead_at) = (true, false, now);
                // A VM that never saw the removed one listed may still send a stale record of it. The answer must
                // state that the removed VM is dead.
                member.record.health = Health::Dead;
                self.dirty_domains.insert(member.record.domain.clone());
            }
        }
    }

    /// Forgets VMs that were removed, or are dead and unlisted, for longer than
    /// [`Config::tombstone_ttl`](crate::Config::tombstone_ttl).
    pub(crate) fn purge(&mut self) {
        let now = self.view.now;
        let is_expired = |m: &Member| now.saturating_duration_since(m.dead_at) > self.cfg.tombstone_ttl;
        let is_forgettable = |m: &Member| m.removed || !m.listed && m.individual_state() == MemberState::Dead;
        let expired: Vec<_> = self
            .view
            .members
            .values()
            .filter(|m| is_forgettable(m) && is_expired(m))
            .collect();
        let expired: Vec<_> = expired
            .into_iter()
            .map(|m| (m.record.vm.clone(), m.record.domain.clone(), m.transmissions))
            .collect();
        for (vm, domain, transmissions) in expired {
            if let Some(entry) = self.view.domains.get_mut(&domain) {
                entry.members.retain(|(_, member)| *member != vm);
                if entry.members.is_empty() {
                    self.view.domains.remove(&domain);
                }
            }
            self.gossip_queue
                .remove(&(transmissions.unwrap_or_default(), vm.clone()));
            self.view.members.remove(&vm);
            self.dirty_domains.insert(domain);
        }
    }
}
