use std::fmt;

use mh_types::VmName;

/// Where data or a confirmation comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This VM's own read of the store.
    Store,
    /// Another VM of the region.
    Vm(VmName),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Vm(vm) => vm.fmt(f),
        }
    }
}
