use mh_types::{DomainName, Incarnation, RouteName, VmName};

/// Identity of one VM in the fleet, and the routes and failure domains that a shift covers.
#[derive(Clone, Debug)]
pub struct VmContext {
    /// Name of this VM.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Position among the VMs; a lower rank writes first.
    pub rank: u32,
    /// Every route of the service.
    pub routes: Vec<RouteName>,
    /// Every failure domain of the fleet.
    pub domains: Vec<DomainName>,
}
