use serde::{Deserialize, Serialize};

use super::Checker;

/// The VMs whose reports decide whether settings are current.
///
/// Written by the VMs themselves, one member at a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// Members, by name.
    pub members: Vec<RosterMember>,
    /// Members before the latest change; empty for the first roster.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<RosterMember>,
}

/// A VM on the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterMember {
    /// Name of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
}

impl Roster {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_unique("members.vm", self.members.iter().map(|m| m.vm.as_str()));
        for (i, member) in self.members.iter().enumerate() {
            checker.check_name(&format!("members[{i}].vm"), &member.vm);
            checker.check_name(&format!("members[{i}].domain"), &member.domain);
        }
    }
}
