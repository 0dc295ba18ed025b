use mh_types::{DomainName, VmName};

use crate::hash::hash;
use crate::record::vm_key;
use crate::{Health, Member, MemberState, Membership, Record};

impl Membership {
    /// Merges the sender's record of itself.
    pub(crate) fn merge_sender(&mut self, record: Record) {
        let now = self.view.now;
        let vm = record.vm.clone();
        self.merge_record(Record {
            health: Health::Alive,
            ..record
        });
        if let Some(member) = self.view.members.get_mut(&vm) {
            member.heard_at = Some(now);
            self.mark_local_domain_heard(&vm);
        }
    }

    /// Resets the silence of the local domain if `vm` belongs to it.
    ///
    /// Hearing or reaching `vm` shows that the local VM is not partitioned from its domain.
    pub(crate) fn mark_local_domain_heard(&mut self, vm: &VmName) {
        let now = self.view.now;
        let in_local_domain = self
            .view
            .members
            .get(vm)
            .is_some_and(|m| m.record.domain == self.domain);
        if in_local_domain && let Some(domain) = self.view.domains.get_mut(&self.domain) {
            (domain.last_heard_adjusted_at, domain.heard_at, domain.silent) = (now, Some(now), false);
        }
    }

    /// Stores a record if it is newer than the known one, or reports worse health for the same version.
    pub(crate) fn merge_record(&mut self, mut record: Record) {
        if record.vm == self.view.local_vm {
            self.refute(&record);
            return;
        }
        let now = self.view.now;
        let Some(known) = self.view.members.get_mut(&record.vm) else {
            if record.health != Health::Dead {
                let vm = record.vm.clone();
                let mut member = Member::new(record, now);
                member.heard_at = (member.record.incarnation.0 > 0).then_some(now);
                self.insert(member);
                self.queue_gossip(&vm);
            }
            return;
        };
        let newer = record.version() > known.record.version();
        let is_worse = record.version() == known.record.version() && record.health > known.record.health;
        if !newer && !is_worse {
            return;
        }
        if is_worse && record.health == Health::Dead {
            // When a network partition ends, each side reports the VMs of the other as dead. They are only suspected
            // at first, so that they have time to refute.
            let suspected_for = now.saturating_duration_since(known.suspected_at);
            match known.record.health {
                Health::Alive => record.health = Health::Suspect,
                Health::Suspect if suspected_for < self.cfg.suspicion_timeout / 2 => return,
                Health::Suspect | Health::Dead => {}
            }
        }
        if record.incarnation > known.record.incarnation {
            // The list lacked an earlier incarnation of the VM, so its removal does not apply to this one.
            known.removed = false;
            known.unlisted_at = None;
        }
        if newer && record.health == Health::Alive {
            known.heard_at = Some(now);
        }
        match record.health {
            Health::Alive => {}
            Health::Suspect => known.suspected_at = now,
            Health::Dead => known.dead_at = now,
        }
        let vm = record.vm.clone();
        let old_domain = known.record.domain.clone();
        let addr = record.addr.or(known.record.addr);
        known.record = Record { addr, ..record };
        if known.record.domain != old_domain {
            let moved = known.clone();
            if let Some(domain) = self.view.domains.get_mut(&old_domain) {
                domain.members.remove(&(vm_key(&vm), vm.clone()));
            }
            self.insert(moved);
        }
        self.dirty_domains.insert(old_domain);
        self.queue_gossip(&vm);
    }

    /// Raises the sequence number of the local record above that of a record that reports the local VM as suspect or
    /// dead.
    ///
    /// A record with a higher incarnation is noted in [`View::superseded_by`](crate::View::superseded_by) instead.
    fn refute(&mut self, record: &Record) {
        let local = self.local_record();
        if record.incarnation > local.incarnation {
            self.view.superseded_by = Some(record.incarnation).max(self.view.superseded_by);
        } else if record.incarnation == local.incarnation && record.seq >= local.seq && record.health != Health::Alive {
            let seq = record.seq;
            self.update_local_record(|local| local.seq = seq + 1);
        }
    }

    /// Sets the health of the known record of `vm` and queues the record for gossip.
    pub(crate) fn set_health(&mut self, vm: &VmName, health: Health) {
        let now = self.view.now;
        if let Some(member) = self.view.members.get_mut(vm) {
            member.record.health = health;
            match health {
                Health::Alive => {}
                Health::Suspect => member.suspected_at = now,
                Health::Dead => member.dead_at = now,
            }
            let domain = member.record.domain.clone();
            self.dirty_domains.insert(domain);
            self.queue_gossip(vm);
        }
    }

    /// Recomputes the digest and the delegates of each domain that changed.
    pub(crate) fn update_dirty_domains(&mut self) {
        while let Some(name) = self.dirty_domains.pop_first() {
            let digest = self.view.members_in(&name).filter(|member| member.counts_in_digest());
            let digest = digest.fold(0_u32, |sum, member| sum.wrapping_add(member.record.digest()));
            let delegates = self.elect_delegates(&name);
            if let Some(domain) = self.view.domains.get_mut(&name) {
                domain.digest = digest;
                domain.delegates = delegates;
            }
        }
    }

    /// Returns the two members of `domain` with the highest rendezvous hash, preferring alive members to leaving and
    /// suspected ones.
    fn elect_delegates(&self, domain: &DomainName) -> [Option<VmName>; 2] {
        let mut best: [Option<(bool, u64, &VmName)>; 2] = [None, None];
        for member in self.view.members_in(domain) {
            let state = member.individual_state();
            if state == MemberState::Dead {
                continue;
            }
            let vm = &member.record.vm;
            let score = hash(&[domain.as_str().as_bytes(), vm.as_str().as_bytes()]);
            let entry = Some((state == MemberState::Alive, score, vm));
            if entry > best[0] {
                best = [entry, best[0]];
            } else if entry > best[1] {
                best[1] = entry;
            }
        }
        best.map(|entry| entry.map(|(_, _, vm)| vm.clone()))
    }
}
