use serde::{Deserialize, Serialize};

/// Way in which a VM became the owner of a slot; determines whether it must wait before it uses the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Adoption {
    /// The budget is new and the slot had no owner: usable immediately, with a full burst.
    New,
    /// The previous owner released the slot after its loans had ended: usable immediately, without tokens.
    HandedOver,
    /// The previous owner is listed as gone, or was an earlier process of this VM: usable, without tokens, once
    /// every loan that the previous owner may have granted and its own use of the slot must have ended.
    TakenOver,
}
