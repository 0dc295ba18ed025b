use mh_types::{Code, Run, VmName};

/// Where an operation is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// By this VM's table.
    Here,
    /// By the table of the named VM; forward the operation there.
    Forward(VmName),
    /// By the owner named in the claim row.
    ///
    /// Try this VM's [`OpTable::begin`](crate::OpTable::begin) first, which has the records of ids claimed here; on
    /// [`BeginOutcome::NotOwner`](crate::BeginOutcome::NotOwner), claim the id with a
    /// [`ClaimBatcher`](crate::ClaimBatcher).
    Claim,
    /// Nowhere, because the owner no longer exists.
    Refuse(Code, Run),
}
