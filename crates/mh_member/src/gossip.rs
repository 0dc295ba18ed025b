use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use mh_types::VmName;

use crate::domain_summary::MAX_SUMMARY_BYTES;
use crate::{Body, DomainSummary, Health, Membership, Msg, Outbox, Outgoing, Record};

/// Maximum encoded size of a message's length prefixes and enum tags, in bytes.
const MAX_FRAME_BYTES: usize = 24;

/// Maximum encoded size of the numbers in a [`Body`], in bytes.
const MAX_BODY_BYTES: usize = 32;

/// Maximum encoded size of an entry of [`Body::Ask`], in bytes.
const MAX_ENTRY_BYTES: usize = 10;

/// Maximum number of messages that answer one [`Body::Ask`].
const MAX_DELTAS_PER_ASK: usize = 2;

/// Number of times a record is sent in addition to the binary logarithm of the number of members.
const EXTRA_TRANSMISSIONS: u32 = 3;

impl Membership {
    /// Queues the record of `vm` for gossip and restarts the count of its transmissions.
    pub(crate) fn queue_gossip(&mut self, vm: &VmName) {
        let Some(member) = self.view.members.get_mut(vm) else {
            return;
        };
        if let Some(transmissions) = member.transmissions.replace(0) {
            self.gossip_queue.remove(&(transmissions, vm.clone()));
        }
        self.gossip_queue.insert((0, vm.clone()));
    }

    /// Builds a message to `to` with as many queued records as fit. `about` is a VM whose record must be included.
    pub(crate) fn msg_with_gossip(
        &mut self,
        to: &VmName,
        body: Body,
        summaries: &[DomainSummary],
        about: Option<&VmName>,
    ) -> Outgoing {
        let mut bytes_left = self.content_capacity().saturating_sub(max_body_bytes(&body));
        let mut records: Vec<Record> = vec![];
        // A VM that is suspect or dead receives its record, so that it can refute.
        let known = |vm: &VmName| self.view.members.get(vm).map(|member| &member.record);
        let unhealthy_record = known(to).filter(|record| record.health != Health::Alive);
        for record in unhealthy_record.into_iter().chain(about.and_then(known)) {
            bytes_left = bytes_left.saturating_sub(record.max_bytes());
            records.push(record.clone());
        }
        let fitting_count = summaries.len().min(bytes_left / MAX_SUMMARY_BYTES);
        bytes_left -= fitting_count * MAX_SUMMARY_BYTES;
        self.take_gossip(to, &mut bytes_left, &mut records);
        self.outgoing(to, body, summaries[..fitting_count].to_vec(), records)
    }

    fn outgoing(&self, to: &VmName, body: Body, summaries: Vec<DomainSummary>, records: Vec<Record>) -> Outgoing {
        let addr = self.view.members.get(to).and_then(|member| member.record.addr);
        let msg = Msg {
            sender: self.local_record().clone(),
            body,
            summaries,
            records,
        };
        Outgoing {
            to: to.clone(),
            addr,
            msg,
        }
    }

    /// Returns the bytes available in a message besides the frame and the sender's record.
    fn content_capacity(&self) -> usize {
        self.cfg
            .max_msg_bytes
            .saturating_sub(MAX_FRAME_BYTES + self.local_record().max_bytes())
    }

    fn take_gossip(&mut self, to: &VmName, bytes_left: &mut usize, records: &mut Vec<Record>) {
        let limit = EXTRA_TRANSMISSIONS + (self.view.members.len() + 1).ilog2();
        let mut taken = vec![];
        for (transmissions, vm) in &self.gossip_queue {
            let Some(member) = self.view.members.get(vm) else {
                continue;
            };
            if vm == to {
                continue;
            }
            let bytes = member.record.max_bytes();
            if bytes > *bytes_left {
                break;
            }
            *bytes_left -= bytes;
            taken.push((*transmissions, vm.clone()));
        }
        for (transmissions, vm) in taken {
            self.gossip_queue.remove(&(transmissions, vm.clone()));
            let Some(member) = self.view.members.get_mut(&vm) else {
                continue;
            };
            if !member.removed && records.iter().all(|record| record.vm != vm) {
                records.push(member.record.clone());
            }
            member.transmissions = (transmissions + 1 < limit && !member.removed).then_some(transmissions + 1);
            if let Some(transmissions) = member.transmissions {
                self.gossip_queue.insert((transmissions, vm));
            }
        }
    }

    /// Returns the summaries of all domains, starting with a different one in each round in case not all fit.
    pub(crate) fn summaries(&self) -> Vec<DomainSummary> {
        let domains = self.view.domains.values();
        let mut all: Vec<_> = domains
            .map(|d| DomainSummary {
                domain: d.key,
                beat: d.heartbeat,
                digest: d.digest,
            })
            .collect();
        let offset = self.round_count as usize % all.len().max(1);
        all.rotate_left(offset);
        all
    }

    pub(crate) fn merge_heartbeats(&mut self, summaries: &[DomainSummary]) {
        let now = self.view.now;
        for summary in summaries {
            let Some(name) = self.domains_by_key.get(&summary.domain) else {
                continue;
            };
            let Some(domain) = self.view.domains.get_mut(name) else {
                continue;
            };
            if summary.beat > domain.heartbeat {
                domain.heartbeat = summary.beat;
                domain.heartbeat_at = now;
                if *name != self.domain {
                    (domain.last_heard_adjusted_at, domain.heard_at, domain.silent) = (now, Some(now), false);
                }
            }
        }
    }

    /// Answers a ping with the summaries that are newer than, or differ from, those of its sender.
    pub(crate) fn handle_ping(
        &mut self,
        from: &VmName,
        nonce: u64,
        sender_summaries: &[DomainSummary],
        out: &mut Outbox,
    ) {
        let body = Body::Ack { nonce };
        if self.acks_sent == self.cfg.max_acks {
            return;
        }
        self.acks_sent += 1;
        if self.acks_sent > self.cfg.max_full_acks {
            let unhealthy_record = self.view.members.get(from).map(|member| member.record.clone());
            let unhealthy_record = unhealthy_record.filter(|record| record.health != Health::Alive);
            out.push(self.outgoing(from, body, vec![], unhealthy_record.into_iter().collect()));
            return;
        }
        let sender_summaries: BTreeMap<u32, &DomainSummary> = sender_summaries
            .iter()
            .map(|summary| (summary.domain, summary))
            .collect();
        let mut summaries = self.summaries();
        summaries.retain(|local| {
            sender_summaries
                .get(&local.domain)
                .is_none_or(|remote| local.beat > remote.beat || local.digest != remote.digest)
        });
        out.push(self.msg_with_gossip(from, body, &summaries, None));
    }

    /// Requests from `from` the records of domains whose digests differ.
    pub(crate) fn send_asks(&mut self, from: &VmName, sender_summaries: &[DomainSummary], out: &mut Outbox) {
        for summary in sender_summaries {
            if self.asks_left == 0 {
                return;
            }
            let name = self.domains_by_key.get(&summary.domain).cloned();
            let domain = name.as_ref().and_then(|name| self.view.domains.get(name));
            if domain.is_some_and(|domain| domain.digest == summary.digest) {
                continue;
            }
            self.asks_left -= 1;
            let body = match (name, domain.map(|domain| domain.next_ask_key)) {
                (Some(name), Some(next_ask_key)) => self.next_ask(&name, summary.domain, next_ask_key),
                _ => Body::Ask {
                    domain: summary.domain,
                    low: 0,
                    high: u64::MAX,
                    entries: vec![],
                },
            };
            out.push(self.outgoing(from, body, vec![], vec![]));
        }
    }

    fn next_ask(&mut self, name: &mh_types::DomainName, key: u32, next_ask_key: u64) -> Body {
        let max = self.content_capacity().saturating_sub(MAX_BODY_BYTES) / MAX_ENTRY_BYTES;
        let records = self.view.members_in(name).map(|m| (m.record.key(), m.record.digest()));
        let mut records: Vec<_> = records.filter(|(key, _)| *key >= next_ask_key).take(max + 1).collect();
        let mut high = u64::MAX;
        if records.len() > max
            && let Some((next, _)) = records.pop()
        {
            high = next - 1;
        }
        if let Some(domain) = self.view.domains.get_mut(name) {
            domain.next_ask_key = high.wrapping_add(1);
        }
        let entries = records.into_iter().map(|(key, digest)| (key as u32, digest)).collect();
        Body::Ask {
            domain: key,
            low: next_ask_key,
            high,
            entries,
        }
    }

    /// Sends the records of a domain that differ from the entries of a [`Body::Ask`].
    pub(crate) fn handle_ask(
        &mut self,
        from: &VmName,
        domain: u32,
        keys: RangeInclusive<u64>,
        entries: &[(u32, u32)],
        out: &mut Outbox,
    ) {
        if self.ask_replies_left == 0 {
            return;
        }
        self.ask_replies_left -= 1;
        let Some(name) = self.domains_by_key.get(&domain) else {
            return;
        };
        let known: BTreeMap<u32, u32> = entries.iter().copied().collect();
        let differs = |record: &Record| match known.get(&(record.key() as u32)) {
            Some(digest) => *digest != record.digest(),
            None => record.health != Health::Dead,
        };
        let records = self.view.members_in_with_removed(name).map(|member| &member.record);
        let records =
            records.filter(|record| (record.incarnation.0 > 0 || record.health == Health::Dead) && record.vm != *from);
        let mut records = records
            .filter(|record| keys.contains(&record.key()) && differs(record))
            .peekable();
        for _ in 0..MAX_DELTAS_PER_ASK {
            let mut bytes_left = self.content_capacity().saturating_sub(MAX_BODY_BYTES);
            let mut batch = vec![];
            while let Some(record) = records.next_if(|record| record.max_bytes() <= bytes_left) {
                bytes_left -= record.max_bytes();
                batch.push(record.clone());
            }
            if batch.is_empty() {
                return;
            }
            out.push(self.outgoing(from, Body::Delta, vec![], batch));
        }
    }
}

fn max_body_bytes(body: &Body) -> usize {
    match body {
        Body::Probe { target, .. } => MAX_BODY_BYTES + target.as_str().len(),
        _ => MAX_BODY_BYTES,
    }
}
