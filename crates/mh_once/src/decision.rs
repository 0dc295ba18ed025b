use mh_types::{Code, Run, VmName};

/// VM that decides an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// This VM, by its operation table.
    Local,
    /// The named VM, by its operation table; forward the operation to it.
    Forward(VmName),
    /// The owner named in the claim row.
    ///
    /// Try this VM's [`OpTable::begin`](crate::OpTable::begin) first, which has the records of ids claimed by this VM;
    /// on [`BeginOutcome::NotOwner`](crate::BeginOutcome::NotOwner), claim the id with a
    /// [`ClaimBatcher`](crate::ClaimBatcher).
    Claim,
    /// None, because the owner no longer exists.
    Refuse(Code, Run),
}
