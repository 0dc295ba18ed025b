use std::net::SocketAddr;

use mh_budget::Owner;
use mh_types::{DomainName, VmName};

use crate::AnnouncedVm;

/// A VM that is up and missing in this VM's list, which this VM cannot read now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnlistedVm {
    pub(crate) vm: VmName,
    pub(crate) domain: DomainName,
    /// Address that accepts datagrams.
    pub(crate) addr: SocketAddr,
}

impl From<&UnlistedVm> for Owner {
    fn from(vm: &UnlistedVm) -> Self {
        Self {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
        }
    }
}

impl From<&AnnouncedVm> for Owner {
    fn from(vm: &AnnouncedVm) -> Self {
        Self {
            vm: vm.vm.clone(),
            domain: vm.domain.clone(),
        }
    }
}
