use arcstr::ArcStr;
use mh_budget::Adoption;
use mh_types::{DomainName, Incarnation, OrgName, VmName};
use serde::{Deserialize, Serialize};

/// Path prefix of the rows that hold the slot owners of the organisations' allowances.
pub(super) const BUDGETS_PREFIX: &str = "/mangohook/budgets/";
/// Last path segment of an undivided allowance's row; no failure domain can have this name.
const UNDIVIDED: &str = "*";

/// Owners of the slots of one failure domain, or of the one slot of an undivided allowance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SlotRow {
    /// Format number.
    pub(super) format: u32,
    /// Owner of each slot, in order.
    pub(super) slots: Vec<SlotOwner>,
}

/// Owner of one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SlotOwner {
    /// Name of the VM that owns the slot.
    pub(super) vm: VmName,
    /// Failure domain of that VM.
    pub(super) domain: DomainName,
    /// Incarnation of the VM's process that owns the slot.
    pub(super) incarnation: Incarnation,
    /// Origin of the ownership: new, handed over or taken over.
    pub(super) adoption: Adoption,
}

/// Returns the path prefix of the rows of one division of an organisation's allowance.
pub(super) fn division_prefix(org: &OrgName, domains: usize, burst: u32) -> ArcStr {
    format!("{}{domains}x{burst}/", org_prefix(org)).into()
}

/// Returns the path prefix of the rows of every division of an organisation's allowance.
pub(super) fn org_prefix(org: &OrgName) -> String {
    format!("{BUDGETS_PREFIX}{org}/")
}

/// Returns the path of a failure domain's row; `None` stands for an undivided allowance.
pub(super) fn row_path(prefix: &str, domain: Option<&DomainName>) -> String {
    format!("{prefix}{}", domain.map_or(UNDIVIDED, |domain| domain.as_str()))
}
