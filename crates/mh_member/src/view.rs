use std::collections::BTreeMap;
use std::time::Duration;

use mh_types::{DomainName, Incarnation, VmName};
use tokio::time::Instant;

use crate::{DomainState, Member, MemberState};

/// State of all members as seen by one VM at its last tick or message.
///
/// Serializes for the state dump, with ages in milliseconds.
#[derive(Clone, Debug)]
pub struct View {
    pub(crate) local_vm: VmName,
    pub(crate) now: Instant,
    pub(crate) members: BTreeMap<VmName, Member>,
    pub(crate) domains: BTreeMap<DomainName, DomainState>,
    pub(crate) list_at: Option<Instant>,
    pub(crate) local_unlisted_at: Option<Instant>,
    pub(crate) superseded_by: Option<Incarnation>,
}

impl View {
    /// Returns the VM to which the view belongs.
    pub fn local_vm(&self) -> &VmName {
        &self.local_vm
    }

    /// Returns the state of `vm`, or `None` if it is unknown or removed.
    pub fn state(&self, vm: &VmName) -> Option<MemberState> {
        self.get(vm).map(|member| self.state_of(member))
    }

    /// Returns the member `vm`, or `None` if it is unknown or removed.
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.members.get(vm).filter(|member| !member.removed)
    }

    /// Returns the state of a member. Members of a silent failure domain are dead, except the local VM.
    pub fn state_of(&self, member: &Member) -> MemberState {
        let silent = || {
            self.domains
                .get(&member.record.domain)
                .is_some_and(DomainState::is_silent)
        };
        match member.individual_state() {
            _ if member.record.vm != self.local_vm && silent() => MemberState::Dead,
            state => state,
        }
    }

    /// Returns the time since `vm` was last heard or, for an alive or leaving one, since the last sign of life of its
    /// failure domain if that is shorter.
    ///
    /// `None` if the VM is unknown, removed or was never heard. Zero for the local VM.
    pub fn age(&self, vm: &VmName) -> Option<Duration> {
        let member = self.get(vm)?;
        if member.record.vm == self.local_vm {
            return Some(Duration::ZERO);
        }
        let domain_heard_at = match self.state_of(member) {
            MemberState::Alive | MemberState::Leaving => {
                self.domains.get(&member.record.domain).and_then(|d| d.heard_at)
            }
            MemberState::Suspect | MemberState::Dead => None,
        };
        let at = member
            .heard_at
            .max(domain_heard_at.filter(|_| member.record.incarnation.0 > 0))?;
        Some(self.now.saturating_duration_since(at))
    }

    /// Iterates over the members that are not removed, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| !member.removed)
    }

    /// Iterates over the alive members, ordered by name; suspected and leaving members are left out.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| self.state_of(member) == MemberState::Alive)
    }

    /// Iterates over the alive members of `domain`, in the order of its ring.
    pub fn alive_in(&self, domain: &DomainName) -> impl Iterator<Item = &Member> {
        self.members_in(domain)
            .filter(|member| self.state_of(member) == MemberState::Alive)
    }

    /// Iterates over the known failure domains, ordered by name.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainName, &DomainState)> {
        self.domains.iter()
    }

    /// Returns the time since the last read of the platform's list that was not ignored.
    pub fn list_age(&self) -> Option<Duration> {
        self.list_at.map(|at| self.now.saturating_duration_since(at))
    }

    /// Returns the time since the platform's list first lacked the local VM after a list that contained it.
    pub fn local_unlisted_for(&self) -> Option<Duration> {
        self.local_unlisted_at.map(|at| self.now.saturating_duration_since(at))
    }

    /// Returns a higher incarnation of the local VM that others know.
    ///
    /// The other VMs ignore messages of the local incarnation, so its process should stop.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    pub(crate) fn members_in(&self, domain: &DomainName) -> impl Iterator<Item = &Member> {
        self.members_in_with_removed(domain).filter(|member| !member.removed)
    }

    /// Iterates over the members of `domain`, including removed ones that are not yet forgotten.
    pub(crate) fn members_in_with_removed(&self, domain: &DomainName) -> impl Iterator<Item = &Member> {
        let keys = self.domains.get(domain).into_iter().flat_map(|d| &d.members);
        keys.filter_map(|(_, vm)| self.members.get(vm))
    }
}
