use std::collections::BTreeMap;
use std::time::Duration;

use mh_types::{DomainName, Incarnation, RegionName, VmName};
use serde::{Serialize, Serializer};

use crate::{DomainState, Member, MemberState, View};

/// State dump of a [`View`]; durations are in milliseconds.
#[derive(Serialize)]
struct ViewDump<'a> {
    vm: &'a VmName,
    list_age_ms: Option<u64>,
    unlisted_for_ms: Option<u64>,
    superseded_by: Option<Incarnation>,
    domains: BTreeMap<&'a DomainName, DomainDump<'a>>,
}

#[derive(Serialize)]
struct DomainDump<'a> {
    silent: bool,
    beat: u64,
    /// Time since the last sign of life of the domain, less pauses of the local process. For the local domain, any
    /// message or successful indirect probe of a member resets it.
    beat_age_ms: u64,
    delegate: Option<&'a VmName>,
    fallback: Option<&'a VmName>,
    members: BTreeMap<&'a VmName, MemberDump<'a>>,
}

#[derive(Serialize)]
struct MemberDump<'a> {
    state: MemberState,
    region: &'a RegionName,
    incarnation: Incarnation,
    seq: u64,
    payload: u64,
    age_ms: Option<u64>,
}

fn millis(age: Duration) -> u64 {
    age.as_millis() as u64
}

impl View {
    fn dump_member(&self, member: &Member) -> MemberDump<'_> {
        let record = &self.members[&member.record.vm].record;
        MemberDump {
            state: self.state_of(member),
            region: &record.region,
            incarnation: record.incarnation,
            seq: record.seq,
            payload: record.payload,
            age_ms: self.age(&record.vm).map(millis),
        }
    }

    fn dump_domain<'a>(&'a self, name: &'a DomainName, domain: &'a DomainState) -> DomainDump<'a> {
        let members = self
            .members_in(name)
            .map(|member| (&member.record.vm, self.dump_member(member)));
        DomainDump {
            silent: domain.silent,
            beat: domain.heartbeat,
            beat_age_ms: millis(self.now.saturating_duration_since(domain.last_heard_adjusted_at)),
            delegate: domain.delegates[0].as_ref(),
            fallback: domain.delegates[1].as_ref(),
            members: members.collect(),
        }
    }
}

impl Serialize for View {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let domains = self
            .domains
            .iter()
            .map(|(name, domain)| (name, self.dump_domain(name, domain)));
        let dump = ViewDump {
            vm: &self.local_vm,
            list_age_ms: self.list_age().map(millis),
            unlisted_for_ms: self.local_unlisted_for().map(millis),
            superseded_by: self.superseded_by,
            domains: domains.collect(),
        };
        dump.serialize(serializer)
    }
}
