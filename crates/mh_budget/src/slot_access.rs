/// Whether a VM may use the slots that it owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAccess {
    /// The slots may be used.
    Listed,
    /// The VM was paused for the pause limit or longer, and its slots may have been taken over; until
    /// [`BudgetHolder::confirm`](crate::BudgetHolder::confirm) it uses only borrowed share.
    Unconfirmed,
    /// The platform's list of VMs does not contain this VM; it uses no share.
    Unlisted,
}
