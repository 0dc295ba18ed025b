use mh_types::{OrgName, VmName};

use crate::{Block, RankingId, SiteId, VmAvailability, VmSpec};

/// A change of a [`Table`](crate::Table).
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// Adds a block or changes its ranking; `None` removes the block.
    Block(Block, Option<RankingId>),
    /// Adds a VM or replaces the one with the same name, keeping its count of first choices.
    Vm(VmSpec),
    /// Removes a VM.
    RemoveVm(VmName),
    /// Sets the state of a VM.
    State(VmName, VmAvailability),
    /// Sets the measured headroom of a VM, in look-ups per lifetime.
    Headroom(VmName, u32),
    /// Sets a ranking; the next free number adds a new one.
    Ranking(RankingId, Vec<SiteId>),
    /// Sets the home VMs of an organisation whose budget is too small to divide; an empty list removes them.
    Home(OrgName, Vec<VmName>),
}
