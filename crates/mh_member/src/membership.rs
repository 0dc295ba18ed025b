use std::collections::{BTreeMap, BTreeSet};

use mh_types::{DomainName, Incarnation, RegionName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::hash::mix;
use crate::pending_probe::PendingProbe;
use crate::record::{domain_key, vm_key};
use crate::{Body, Config, DomainState, Health, Member, Msg, Outgoing, Record, View, VmListEntry};

/// Messages to send.
pub type Outbox = SmallVec<[Outgoing; 4]>;

/// Membership protocol of one VM and its view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) cfg: Config,
    pub(crate) view: View,
    pub(crate) domain: DomainName,
    /// Position of the local VM on the ring of its failure domain.
    pub(crate) key: u64,
    pub(crate) pending_probes: Vec<PendingProbe>,
    /// VMs whose records are to be sent, least often sent first.
    pub(crate) gossip_queue: BTreeSet<(u32, VmName)>,
    /// Domains whose digest and delegates must be recomputed.
    pub(crate) dirty_domains: BTreeSet<DomainName>,
    /// Names of domains by the hash that identifies them in messages.
    pub(crate) domains_by_key: BTreeMap<u32, DomainName>,
    pub(crate) next_probe_round: Instant,
    pub(crate) next_random_ping: Instant,
    pub(crate) asks_left: u32,
    pub(crate) ask_replies_left: u32,
    pub(crate) acks_sent: u32,
    pub(crate) round_count: u64,
    nonce: u64,
    rng_state: u64,
}

impl Membership {
    /// Creates the membership of a VM that knows only itself.
    ///
    /// `incarnation` must be higher than in every earlier process of the VM.
    pub fn new(
        local_vm: VmName,
        incarnation: Incarnation,
        domain: DomainName,
        region: RegionName,
        now: Instant,
        cfg: Config,
    ) -> Self {
        let key = vm_key(&local_vm);
        let record = Record {
            vm: local_vm.clone(),
            domain: domain.clone(),
            region,
            addr: cfg.addr,
            incarnation,
            seq: 0,
            health: Health::Alive,
            leaving: false,
            payload: 0,
        };
        let phase = cfg.probe_interval.mul_f64((key % 1000) as f64 / 1000.0);
        let random_ping_phase = cfg.random_ping_interval.mul_f64((key / 1000 % 1000) as f64 / 1000.0);
        let view = View {
            local_vm,
            now,
            members: BTreeMap::new(),
            domains: BTreeMap::new(),
            list_at: None,
            local_unlisted_at: None,
            superseded_by: None,
        };
        let mut membership = Self {
            view,
            domain,
            key,
            pending_probes: vec![],
            gossip_queue: BTreeSet::new(),
            dirty_domains: BTreeSet::new(),
            domains_by_key: BTreeMap::new(),
            next_probe_round: now + phase,
            next_random_ping: now + random_ping_phase,
            asks_left: cfg.max_asks,
            ask_replies_left: cfg.max_ask_replies,
            acks_sent: 0,
            round_count: 0,
            nonce: incarnation.0,
            rng_state: mix(key ^ incarnation.0),
            cfg,
        };
        membership.insert(Member::new(record, now));
        membership.update_dirty_domains();
        membership
    }

    /// Returns the state of all members as seen by the local VM.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the delegate of `domain`, through which other domains exchange records with it.
    ///
    /// It has the highest rendezvous hash; alive members are preferred to leaving and suspected ones. The delegates of
    /// `mh_fresh` are chosen differently: the first reachable member by name.
    pub fn delegate_of(&self, domain: &DomainName) -> Option<&VmName> {
        self.view.domains.get(domain)?.delegates[0].as_ref()
    }

    /// Returns whether the local VM is the delegate of its failure domain.
    pub fn is_delegate(&self) -> bool {
        self.delegate_of(&self.domain) == Some(&self.view.local_vm)
    }

    /// Runs all timers that are due.
    ///
    /// Must be called about every 100 to 200 ms. `entropy` is a random number.
    pub fn on_tick(&mut self, now: Instant, entropy: u64) -> Outbox {
        let mut out = Outbox::new();
        self.rng_state = mix(self.rng_state ^ entropy);
        self.advance_clock(now);
        self.expire_pending_probes(&mut out);
        if now >= self.next_probe_round {
            self.next_probe_round = now + self.cfg.probe_interval;
            self.run_probe_round(&mut out);
        }
        if now >= self.next_random_ping {
            let jitter_factor = 0.75 + (self.random() % 1000) as f64 / 2000.0;
            self.next_random_ping = now + self.cfg.random_ping_interval.mul_f64(jitter_factor);
            self.ping_random(&mut out);
        }
        self.update_dirty_domains();
        out
    }

    /// Processes a message from the VM `from` and returns the answers.
    ///
    /// A message is ignored if its sender record is that of another VM or of an earlier incarnation than the known one.
    pub fn on_msg(&mut self, now: Instant, from: &VmName, msg: Msg) -> Outbox {
        let mut out = Outbox::new();
        self.advance_clock(now);
        let known = self.view.members.get(from).map(|member| member.record.incarnation);
        let outdated = known.is_some_and(|known| known > msg.sender.incarnation);
        if *from == self.view.local_vm || msg.sender.vm != *from || outdated {
            return out;
        }
        self.merge_sender(msg.sender);
        for record in msg.records {
            self.merge_record(record);
        }
        self.merge_heartbeats(&msg.summaries);
        self.update_dirty_domains();
        match msg.body {
            Body::Ping { nonce } => self.handle_ping(from, nonce, &msg.summaries, &mut out),
            Body::Ack { nonce } => self.handle_ack(from, nonce, &mut out),
            Body::Probe { nonce, target } => self.handle_probe(from, nonce, target, &mut out),
            Body::Report { nonce, reached } => self.handle_report(nonce, reached),
            Body::Ask {
                domain,
                low,
                high,
                entries,
            } => self.handle_ask(from, domain, low..=high, &entries, &mut out),
            Body::Delta => {}
        }
        self.send_asks(from, &msg.summaries, &mut out);
        self.update_dirty_domains();
        out
    }

    /// Adds a VM through which to join while the platform's list is unavailable.
    ///
    /// The VM is added in the same way as one on the list, and a ping to a random member is sent on the next tick.
    pub fn add_seed_vm(&mut self, now: Instant, vm: &VmListEntry) {
        self.advance_clock(now);
        self.add_listed_vm(vm);
        self.next_random_ping = now;
        self.update_dirty_domains();
    }

    /// Returns the local VM as an entry of the platform's VM list.
    pub fn list_entry(&self) -> VmListEntry {
        let record = self.local_record();
        VmListEntry {
            vm: record.vm.clone(),
            domain: record.domain.clone(),
            region: record.region.clone(),
            addr: record.addr,
            leaving: record.leaving,
        }
    }

    /// Marks the local VM as leaving and returns messages that inform its neighbours immediately.
    pub fn leave(&mut self, now: Instant) -> Outbox {
        let mut out = Outbox::new();
        self.advance_clock(now);
        self.update_local_record(|record| record.leaving = true);
        self.update_dirty_domains();
        self.probe_ring(&mut out);
        self.ping_random(&mut out);
        out
    }

    /// Sets the version of the local VM's payload.
    ///
    /// Each change is sent to every VM, so the payload must not change more often than a few times a day.
    pub fn set_payload(&mut self, now: Instant, version: u64) {
        self.advance_clock(now);
        self.update_local_record(|record| record.payload = version);
        self.update_dirty_domains();
    }

    pub(crate) fn local_record(&self) -> &Record {
        &self.view.members[&self.view.local_vm].record
    }

    pub(crate) fn update_local_record(&mut self, change: impl FnOnce(&mut Record)) {
        if let Some(member) = self.view.members.get_mut(&self.view.local_vm) {
            member.record.seq += 1;
            change(&mut member.record);
        }
        self.dirty_domains.insert(self.domain.clone());
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.rng_state)
    }

    /// Returns a random element of `items`, or `None` if there is none.
    pub(crate) fn choose<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        let index = (self.random() % items.len().max(1) as u64) as usize;
        items.get(index)
    }

    pub(crate) fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    pub(crate) fn insert(&mut self, member: Member) {
        let now = self.view.now;
        let (vm, domain) = (member.record.vm.clone(), member.record.domain.clone());
        let entry = self.view.domains.entry(domain.clone());
        let entry = entry.or_insert_with(|| DomainState::new(domain_key(&domain), now));
        self.domains_by_key.insert(entry.key, domain.clone());
        entry.members.insert((vm_key(&vm), vm.clone()));
        self.view.members.insert(vm, member);
        self.dirty_domains.insert(domain);
    }

    /// Sets the current time. After a pause of the local process, deadlines are extended by the length of the pause.
    fn advance_clock(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.view.now);
        self.view.now = now.max(self.view.now);
        if gap <= self.cfg.pause_threshold {
            return;
        }
        // Silence during the pause says nothing about the other VMs.
        self.pending_probes.clear();
        for domain in self.view.domains.values_mut() {
            domain.last_heard_adjusted_at = (domain.last_heard_adjusted_at + gap).min(now);
            domain.heartbeat_at = (domain.heartbeat_at + gap).min(now);
        }
        for member in self.view.members.values_mut() {
            member.suspected_at = (member.suspected_at + gap).min(now);
        }
        self.next_probe_round = now;
        self.next_random_ping = now;
    }
}
