use std::collections::{BTreeMap, BTreeSet, HashMap};

use mh_types::{DomainName, Incarnation, Revision, VmName};
use tokio::time::Instant;

use crate::Roster;
use crate::attestation::Attestation;
use crate::roster::majority_of;

/// State of one member of the roster or of the previous roster.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub vm: VmName,
    pub in_roster: bool,
    pub in_previous: bool,
    /// Newest incarnation of the member's process that reported directly to this VM.
    pub incarnation: Incarnation,
    pub attestation: Option<Attestation>,
}

/// Members of one failure domain, with the tag that identifies them in attestation summaries.
#[derive(Clone, Debug)]
pub(crate) struct DomainMembers {
    pub name: DomainName,
    pub tag: u64,
    /// Indices into [`MemberIndex::states`], in the order of the sorted member list.
    pub member_indices: Vec<u32>,
}

/// Members of the roster and of the previous roster, indexed by name and by domain tag.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberIndex {
    pub states: Vec<MemberState>,
    /// The domains of the roster, then those of the previous roster whose member lists differ.
    pub domains: Vec<DomainMembers>,
    /// Number of leading `domains` that belong to the roster itself.
    pub current_domain_count: usize,
    by_name: HashMap<VmName, u32>,
    by_tag: HashMap<u64, usize>,
    member_count: usize,
    previous_member_count: Option<usize>,
}

impl MemberIndex {
    /// Indexes `roster`, keeping the state that `old` has of members that remain.
    pub fn new(roster: &Roster, mut old: Self) -> Self {
        let names: BTreeSet<&VmName> = roster
            .members()
            .keys()
            .chain(roster.previous().into_iter().flat_map(BTreeMap::keys))
            .collect();
        let mut index = Self {
            member_count: roster.members().len(),
            previous_member_count: roster.previous().map(BTreeMap::len),
            ..Self::default()
        };
        for vm in names {
            let kept = old.by_name.remove(vm).map(|old_index| &old.states[old_index as usize]);
            index.by_name.insert(vm.clone(), index.states.len() as u32);
            index.states.push(MemberState {
                vm: vm.clone(),
                in_roster: roster.members().contains_key(vm),
                in_previous: roster.previous().is_some_and(|members| members.contains_key(vm)),
                incarnation: kept.map_or(Incarnation::default(), |member| member.incarnation),
                attestation: kept.and_then(|member| member.attestation),
            });
        }
        index.add_domains(roster.members());
        index.current_domain_count = index.domains.len();
        if let Some(members) = roster.previous() {
            index.add_domains(members);
        }
        index
    }

    pub fn index_of(&self, vm: &VmName) -> Option<usize> {
        self.by_name.get(vm).map(|&index| index as usize)
    }

    pub fn domain_with_tag(&self, tag: u64) -> Option<&DomainMembers> {
        self.by_tag.get(&tag).map(|&index| &self.domains[index])
    }

    /// The latest moment since which a majority of the roster has attested; `own` counts as attesting now.
    ///
    /// Returns `now` itself when `own` alone is a majority.
    pub fn majority_attested_at(&self, own: Option<usize>, now: Instant) -> Option<Instant> {
        let own_counts = own.is_some_and(|index| self.states[index].in_roster);
        let needed = majority_of(self.member_count) - usize::from(own_counts);
        let others = self
            .states
            .iter()
            .enumerate()
            .filter(|&(index, member)| member.in_roster && Some(index) != own);
        let mut times: Vec<Instant> = others.filter_map(|(_, member)| Some(member.attestation?.at)).collect();
        match needed.checked_sub(1) {
            None => Some(now),
            Some(_) if times.len() < needed => None,
            Some(last) => Some(*times.select_nth_unstable_by(last, |a, b| b.cmp(a)).1),
        }
    }

    /// The highest revision that `revision_of` reaches or exceeds for a majority of the roster.
    pub fn majority_revision(&self, revision_of: impl Fn(usize, &MemberState) -> Option<Revision>) -> Option<Revision> {
        let members = self.states.iter().enumerate().filter(|(_, member)| member.in_roster);
        let mut values: Vec<Revision> = members
            .filter_map(|(index, member)| revision_of(index, member))
            .collect();
        let needed = majority_of(self.member_count);
        (values.len() >= needed).then(|| *values.select_nth_unstable_by(needed - 1, |a, b| b.cmp(a)).1)
    }

    /// Whether some moment lies in the intervals of a majority of the roster and of a majority of the previous roster.
    pub fn has_majority_overlap(
        &self,
        interval_of: impl Fn(usize, &MemberState) -> Option<(Instant, Instant)>,
    ) -> bool {
        let mut edges: Vec<(Instant, bool, usize)> = Vec::with_capacity(2 * self.states.len());
        for (index, member) in self.states.iter().enumerate() {
            if let Some((from, until)) = interval_of(index, member) {
                edges.extend([(from, false, index), (until, true, index)]);
            }
        }
        // `false` sorts first: intervals are closed, so one that begins when another ends overlaps it.
        edges.sort_unstable();
        let needed = majority_of(self.member_count);
        let needed_previous = self.previous_member_count.map_or(0, majority_of);
        let (mut count, mut count_previous) = (0, 0);
        for (_, ends, index) in edges {
            let member = &self.states[index];
            let (in_roster, in_previous) = (usize::from(member.in_roster), usize::from(member.in_previous));
            if ends {
                count -= in_roster;
                count_previous -= in_previous;
            } else {
                count += in_roster;
                count_previous += in_previous;
                if count >= needed && count_previous >= needed_previous {
                    return true;
                }
            }
        }
        false
    }

    fn add_domains(&mut self, members: &BTreeMap<VmName, DomainName>) {
        let mut domains: BTreeMap<&DomainName, Vec<&VmName>> = BTreeMap::new();
        for (vm, domain) in members {
            domains.entry(domain).or_default().push(vm);
        }
        for (name, vms) in domains {
            let tag = domain_tag(name, &vms);
            if self.by_tag.contains_key(&tag) {
                continue;
            }
            self.by_tag.insert(tag, self.domains.len());
            let member_indices = vms.iter().filter_map(|vm| self.by_name.get(*vm).copied()).collect();
            self.domains.push(DomainMembers {
                name: name.clone(),
                tag,
                member_indices,
            });
        }
    }
}

/// FNV-1a hash (64 bits) of a domain's name and its sorted member names.
///
/// The names come from the operators' own settings, so an unkeyed hash is sufficient.
fn domain_tag(name: &DomainName, vms: &[&VmName]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    // White space is not allowed in names, so a line feed separates them without ambiguity.
    let texts = std::iter::once(name.as_str()).chain(vms.iter().map(|vm| vm.as_str()));
    texts.flat_map(|text| text.bytes().chain([b'\n'])).fold(OFFSET, mix)
}
