use std::collections::BTreeMap;

use mh_types::{DomainName, Revision, VmName};
use serde::{Deserialize, Serialize};

use crate::RosterError;

/// The VMs whose majority accepts changes, as of one revision of the settings.
///
/// ```
/// use mh_fresh::Roster;
/// use mh_types::Revision;
///
/// let roster = Roster::new(Revision(1), [("a".into(), "maine-1".into()), ("b".into(), "maine-2".into())]);
/// let larger = roster.add(Revision(2), "c".into(), "maine-1".into())?;
/// assert_eq!(larger.majority(), 2);
/// // The next change has to wait until a majority of each roster holds revision 2.
/// assert!(larger.remove(Revision(3), &"a".into()).is_err());
/// # Ok::<(), mh_fresh::RosterError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    revision: Revision,
    members: BTreeMap<VmName, DomainName>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    previous: Option<BTreeMap<VmName, DomainName>>,
}

impl Roster {
    /// Creates a roster that has no previous roster.
    pub fn new(revision: Revision, members: impl IntoIterator<Item = (VmName, DomainName)>) -> Self {
        Self {
            revision,
            members: members.into_iter().collect(),
            previous: None,
        }
    }

    /// Revision of the settings change that created this roster.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Members by name, each with its failure domain.
    pub fn members(&self) -> &BTreeMap<VmName, DomainName> {
        &self.members
    }

    /// Members before the change, while the change is not known to be accepted.
    pub fn previous(&self) -> Option<&BTreeMap<VmName, DomainName>> {
        self.previous.as_ref()
    }

    /// Number of members that make a majority.
    pub fn majority(&self) -> usize {
        majority_of(self.members.len())
    }

    /// The failure domain of a member.
    pub fn domain_of(&self, vm: &VmName) -> Option<&DomainName> {
        self.members.get(vm)
    }

    /// Returns the roster with `vm` added by the settings change `revision`.
    ///
    /// # Errors
    ///
    /// [`RosterError`] when the previous change is not accepted, `revision` is not newer, or `vm` is already a member.
    pub fn add(&self, revision: Revision, vm: VmName, domain: DomainName) -> Result<Self, RosterError> {
        self.validate_change(revision)?;
        if self.members.contains_key(&vm) {
            return Err(RosterError::AlreadyMember(vm));
        }
        let mut next = self.successor(revision);
        next.members.insert(vm, domain);
        Ok(next)
    }

    /// Returns the roster with `vm` removed by the settings change `revision`.
    ///
    /// # Errors
    ///
    /// [`RosterError`] when the previous change is not accepted, `revision` is not newer, or `vm` is not a member or
    /// the only one.
    pub fn remove(&self, revision: Revision, vm: &VmName) -> Result<Self, RosterError> {
        self.validate_change(revision)?;
        if !self.members.contains_key(vm) {
            return Err(RosterError::NotMember(vm.clone()));
        }
        if self.members.len() == 1 {
            return Err(RosterError::LastMember(vm.clone()));
        }
        let mut next = self.successor(revision);
        next.members.remove(vm);
        Ok(next)
    }

    /// Drops the previous roster, once revision [`revision`](Self::revision) is accepted.
    pub(crate) fn clear_previous(&mut self) {
        self.previous = None;
    }

    fn validate_change(&self, revision: Revision) -> Result<(), RosterError> {
        if self.previous.is_some() {
            return Err(RosterError::PreviousNotAccepted {
                revision: self.revision,
            });
        }
        if revision <= self.revision {
            return Err(RosterError::RevisionNotNewer {
                roster: self.revision,
                change: revision,
            });
        }
        Ok(())
    }

    fn successor(&self, revision: Revision) -> Self {
        Self {
            revision,
            members: self.members.clone(),
            previous: Some(self.members.clone()),
        }
    }
}

/// Smallest number that is more than half of `members`.
pub(crate) fn majority_of(members: usize) -> usize {
    members / 2 + 1
}
