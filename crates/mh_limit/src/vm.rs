use mh_types::{DomainName, RegionName, VmName};

/// A VM that may admit requests for servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}
