use mh_types::OrgName;

use crate::Organisation;

/// An organisation and its rate limit over the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledOrg {
    /// Qualified name.
    pub name: OrgName,
    /// Requests per second over all VMs together.
    pub rate_per_second: f64,
    /// Burst size: requests accepted at once over all VMs together.
    pub burst: u32,
}

impl CompiledOrg {
    pub(crate) fn new(name: &str, doc: &Organisation) -> Self {
        Self {
            name: name.into(),
            rate_per_second: doc.rate_per_second,
            burst: doc.burst,
        }
    }
}
