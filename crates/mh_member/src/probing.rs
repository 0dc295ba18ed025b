use mh_types::{DomainName, VmName};
use tokio::time::Instant;

use crate::pending_probe::{PendingProbe, ProbeKind};
use crate::{Body, DomainState, Health, MemberState, Membership, Outbox};

/// Maximum number of concurrent probes on behalf of other VMs.
const MAX_RELAYED_PROBES: usize = 16;

/// Factor by which suspicions of VMs in other domains last longer, as their outcome must first arrive from that domain.
const REMOTE_SUSPICION_FACTOR: u32 = 3;

impl Membership {
    /// Runs one probe round; called once per probe interval.
    pub(crate) fn run_probe_round(&mut self, out: &mut Outbox) {
        self.asks_left = self.cfg.max_asks;
        self.ask_replies_left = self.cfg.max_ask_replies;
        self.acks_sent = 0;
        self.round_count += 1;
        self.advance_heartbeat();
        self.update_silence();
        self.expire_suspicions();
        self.purge();
        self.update_dirty_domains();
        self.probe_ring(out);
        self.ping_dead_ring_member(out);
        self.ping_neighbour_domains(out);
    }

    /// Increments the heartbeat counter of the local domain if this VM is a delegate or the counter is stale.
    fn advance_heartbeat(&mut self) {
        let now = self.view.now;
        let delegate_rank = self.delegate_rank();
        if let Some(domain) = self.view.domains.get_mut(&self.domain) {
            let stale = now.saturating_duration_since(domain.heartbeat_at) > self.cfg.heartbeat_takeover;
            if delegate_rank.is_some() || stale {
                domain.heartbeat = domain.heartbeat.saturating_add(1);
                domain.heartbeat_at = now;
            }
        }
    }

    /// Returns 0 on the delegate of the local domain, 1 on the fallback delegate and `None` on other VMs.
    fn delegate_rank(&self) -> Option<usize> {
        let delegates = self.view.domains.get(&self.domain)?.delegates();
        delegates.iter().position(|vm| vm.as_ref() == Some(&self.view.local_vm))
    }

    fn update_silence(&mut self) {
        for domain in self.view.domains.values_mut() {
            domain.silent = self.view.now.saturating_duration_since(domain.last_heard_adjusted_at)
                > self.cfg.domain_silence_timeout;
        }
    }

    fn expire_suspicions(&mut self) {
        let suspects = self
            .view
            .members
            .values()
            .filter(|m| m.record.health == Health::Suspect && !m.removed);
        let expired = suspects.filter(|m| {
            let is_remote = m.record.domain != self.domain;
            let factor = if is_remote { REMOTE_SUSPICION_FACTOR } else { 1 };
            self.view.now.saturating_duration_since(m.suspected_at) > self.cfg.suspicion_timeout * factor
        });
        let expired: Vec<_> = expired.map(|m| m.record.vm.clone()).collect();
        for vm in expired {
            self.set_health(&vm, Health::Dead);
        }
    }

    /// Probes the next members on the ring of the local domain. Suspected members are probed in addition to
    /// [`Config::ring_probes`](crate::Config::ring_probes), with at most twice that number of probes in total.
    pub(crate) fn probe_ring(&mut self, out: &mut Outbox) {
        let Some(domain) = self.view.domains.get(&self.domain) else {
            return;
        };
        let mut targets = vec![];
        let mut healthy = 0;
        let start = (self.key, self.view.local_vm.clone());
        let ring = domain.members.range(&start..).chain(domain.members.range(..&start));
        for (_, vm) in ring.filter(|(_, vm)| *vm != self.view.local_vm) {
            if healthy == self.cfg.ring_probes || targets.len() == 2 * self.cfg.ring_probes {
                break;
            }
            match self.view.get(vm).map(crate::Member::individual_state) {
                Some(MemberState::Alive | MemberState::Leaving) => healthy += 1,
                Some(MemberState::Suspect) => {}
                Some(MemberState::Dead) | None => continue,
            }
            targets.push(vm.clone());
        }
        for vm in targets {
            if let Some(version) = self.view.get(&vm).map(|member| member.record.version()) {
                self.ping(vm, ProbeKind::Direct { version }, out);
            }
        }
    }

    /// Exchanges gossip with the neighbouring domains and a random one if this VM is a delegate.
    fn ping_neighbour_domains(&mut self, out: &mut Outbox) {
        let Some(delegate_rank) = self.delegate_rank() else {
            return;
        };
        let Some(local_key) = self.view.domains.get(&self.domain).map(|domain| domain.key) else {
            return;
        };
        let others = self
            .domains_by_key
            .range(local_key + 1..)
            .chain(self.domains_by_key.range(..local_key));
        let others: Vec<_> = others.map(|(_, name)| name.clone()).collect();
        let neighbour_count = others.len().min(self.cfg.neighbour_domains);
        let random = self.choose(&others[neighbour_count..]).cloned();
        for name in others[..neighbour_count].iter().cloned().chain(random) {
            if let Some(vm) = self.ping_target_in(&name, delegate_rank) {
                self.ping(vm, ProbeKind::Delegate, out);
            }
        }
    }

    /// Returns the VM to ping in another domain: a delegate, or a random member while the domain is silent.
    fn ping_target_in(&mut self, name: &DomainName, delegate_rank: usize) -> Option<VmName> {
        let domain = self.view.domains.get(name)?;
        if domain.is_silent() {
            let members: Vec<_> = self
                .view
                .members_in(name)
                .map(|member| member.record.vm.clone())
                .collect();
            return self.choose(&members).cloned();
        }
        domain.delegates[delegate_rank]
            .clone()
            .or_else(|| domain.delegates[0].clone())
    }

    /// Pings a random VM that is dead or belongs to another domain.
    ///
    /// This reconnects the two sides of a partition that consider each other dead, and passes gossip around delegates
    /// that are partitioned.
    pub(crate) fn ping_random(&mut self, out: &mut Outbox) {
        let others = self
            .view
            .members()
            .filter(|member| member.record.vm != self.view.local_vm);
        let (dead, live): (Vec<_>, Vec<_>) = others.partition(|member| self.view.state_of(member) == MemberState::Dead);
        let remote: Vec<_> = live
            .iter()
            .filter(|member| member.record.domain != self.domain)
            .copied()
            .collect();
        let live = if remote.is_empty() { live } else { remote };
        let names = |members: Vec<&crate::Member>| members.into_iter().map(|m| m.record.vm.clone()).collect::<Vec<_>>();
        let (dead, live) = (names(dead), names(live));
        let to_dead = live.is_empty() || (!dead.is_empty() && self.random().is_multiple_of(2));
        if let Some(vm) = self.choose(if to_dead { &dead } else { &live }).cloned() {
            self.ping(vm, ProbeKind::BestEffort, out);
        }
    }

    /// Pings the dead VMs of the local domain in turn, so that two VMs that consider each other dead soon recover.
    fn ping_dead_ring_member(&mut self, out: &mut Outbox) {
        let members = self
            .view
            .members_in(&self.domain)
            .filter(|m| m.record.vm != self.view.local_vm);
        let dead = members.filter(|member| self.view.state_of(member) == MemberState::Dead);
        let dead: Vec<_> = dead.map(|member| &member.record.vm).collect();
        let index = self.key.wrapping_add(self.round_count) % dead.len().max(1) as u64;
        if let Some(vm) = dead.get(index as usize).copied().cloned() {
            self.ping(vm, ProbeKind::BestEffort, out);
        }
    }

    fn ping(&mut self, target: VmName, kind: ProbeKind, out: &mut Outbox) {
        let nonce = self.next_nonce();
        let summaries = self.summaries();
        let msg = self.msg_with_gossip(&target, Body::Ping { nonce }, &summaries, None);
        out.push(msg);
        self.pending_probes.push(PendingProbe {
            nonce,
            target,
            sent_at: self.view.now,
            kind,
        });
    }

    /// Handles the pending probes that timed out.
    pub(crate) fn expire_pending_probes(&mut self, out: &mut Outbox) {
        let now = self.view.now;
        let cfg = &self.cfg;
        let due = |p: &PendingProbe| {
            let indirect = matches!(p.kind, ProbeKind::Indirect { .. });
            let limit = if indirect {
                cfg.indirect_timeout
            } else {
                cfg.probe_timeout
            };
            now.saturating_duration_since(p.sent_at) >= limit
        };
        let due: Vec<_> = self.pending_probes.extract_if(.., |p| due(p)).collect();
        for PendingProbe { target, kind, .. } in due {
            match kind {
                ProbeKind::Direct { version } => self.request_indirect_probes(target, version, now, out),
                ProbeKind::Indirect {
                    version,
                    failure_confirmed,
                } => {
                    let known = self.view.get(&target).map(|m| &m.record);
                    let known = known.filter(|record| record.version() == version && record.health == Health::Alive);
                    if failure_confirmed && known.is_some() {
                        self.set_health(&target, Health::Suspect);
                    }
                }
                ProbeKind::Delegate => {
                    let domain = self.view.get(&target).map(|m| &m.record.domain);
                    let delegates = domain
                        .and_then(|name| self.view.domains.get(name))
                        .map(DomainState::delegates);
                    let other = delegates
                        .into_iter()
                        .flatten()
                        .flatten()
                        .find(|vm| **vm != target)
                        .cloned();
                    if let Some(other) = other {
                        self.ping(other, ProbeKind::BestEffort, out);
                    }
                }
                ProbeKind::BestEffort => {}
                ProbeKind::Relay { requester, nonce } => {
                    let body = Body::Report { nonce, reached: false };
                    out.push(self.msg_with_gossip(&requester, body, &[], Some(&target)));
                }
            }
        }
    }

    /// Asks other VMs to probe `target`, alternating between VMs of the local domain and delegates of other domains.
    fn request_indirect_probes(
        &mut self,
        target: VmName,
        version: (mh_types::Incarnation, u64),
        now: Instant,
        out: &mut Outbox,
    ) {
        if self
            .view
            .get(&target)
            .is_none_or(|member| member.record.health != Health::Alive)
        {
            return;
        }
        let local_probers = self.view.alive_in(&self.domain).map(|member| &member.record.vm);
        let mut local_probers: Vec<_> = local_probers
            .filter(|vm| **vm != self.view.local_vm && **vm != target)
            .cloned()
            .collect();
        let remote_probers = self
            .view
            .domains()
            .filter(|(name, domain)| **name != self.domain && !domain.is_silent());
        let mut remote_probers: Vec<_> = remote_probers
            .filter_map(|(_, domain)| domain.delegates[0].clone())
            .collect();
        let nonce = self.next_nonce();
        for attempt in 0..self.cfg.indirect_probers {
            let use_local = (attempt % 2 == 0 && !local_probers.is_empty()) || remote_probers.is_empty();
            let probers = if use_local {
                &mut local_probers
            } else {
                &mut remote_probers
            };
            if probers.is_empty() {
                break;
            }
            let index = (self.random() % probers.len() as u64) as usize;
            let prober = probers.swap_remove(index);
            let body = Body::Probe {
                nonce,
                target: target.clone(),
            };
            out.push(self.msg_with_gossip(&prober, body, &[], Some(&target)));
        }
        let kind = ProbeKind::Indirect {
            version,
            failure_confirmed: false,
        };
        self.pending_probes.push(PendingProbe {
            nonce,
            target,
            sent_at: now,
            kind,
        });
    }

    pub(crate) fn handle_ack(&mut self, from: &VmName, nonce: u64, out: &mut Outbox) {
        let Some(index) = self
            .pending_probes
            .iter()
            .position(|p| p.nonce == nonce && p.target == *from)
        else {
            return;
        };
        if let ProbeKind::Relay { requester, nonce } = self.pending_probes.swap_remove(index).kind {
            let body = Body::Report { nonce, reached: true };
            out.push(self.msg_with_gossip(&requester, body, &[], Some(from)));
        }
    }

    /// Probes `target` on behalf of the VM `requester`.
    pub(crate) fn handle_probe(&mut self, requester: &VmName, nonce: u64, target: VmName, out: &mut Outbox) {
        let relays = self
            .pending_probes
            .iter()
            .filter(|p| matches!(p.kind, ProbeKind::Relay { .. }))
            .count();
        if relays < MAX_RELAYED_PROBES && target != self.view.local_vm && self.view.get(&target).is_some() {
            self.ping(
                target,
                ProbeKind::Relay {
                    requester: requester.clone(),
                    nonce,
                },
                out,
            );
        }
    }

    /// Processes the report of an indirect prober: success ends the probe, failure allows the target to become suspect.
    pub(crate) fn handle_report(&mut self, nonce: u64, reached: bool) {
        let Some(index) = self.pending_probes.iter().position(|p| p.nonce == nonce) else {
            return;
        };
        let ProbeKind::Indirect { failure_confirmed, .. } = &mut self.pending_probes[index].kind else {
            return;
        };
        if !reached {
            *failure_confirmed = true;
            return;
        }
        let target = self.pending_probes.swap_remove(index).target;
        if let Some(member) = self.view.members.get_mut(&target) {
            member.heard_at = Some(self.view.now);
        }
        self.mark_local_domain_heard(&target);
    }
}
