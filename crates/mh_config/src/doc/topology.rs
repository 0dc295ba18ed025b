use serde::{Deserialize, Serialize};

use super::Checker;

/// The failure domains and the regions that hold them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Failure domains.
    pub domains: Vec<DomainSpec>,
}

/// A failure domain and its region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name of the failure domain.
    pub name: String,
    /// Name of its region.
    pub region: String,
}

impl Topology {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_unique("domains.name", self.domains.iter().map(|d| d.name.as_str()));
        for (i, domain) in self.domains.iter().enumerate() {
            checker.check_name(&format!("domains[{i}].name"), &domain.name);
            checker.check_name(&format!("domains[{i}].region"), &domain.region);
        }
    }
}
