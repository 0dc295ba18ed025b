use serde::{Deserialize, Serialize};

/// Fair share of this VM in the servers' slots, each from 0 to 1.
///
/// Other VMs send to the same servers, so a VM that used all slots would overload them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Share of each server in the VM's own failure domain.
    pub domain: f64,
    /// Share of each server in the other domains of the VM's region.
    pub region: f64,
    /// Share of each server in other regions, and of all slots of the service together.
    pub all: f64,
}

impl Share {
    /// Equal shares among the `in_domain` VMs of this VM's domain, the `in_region` VMs of its region and `all` VMs.
    ///
    /// Each number includes this VM; zero counts as one.
    pub fn even(in_domain: usize, in_region: usize, all: usize) -> Self {
        let share = |vms: usize| 1.0 / vms.max(1) as f64;
        Self {
            domain: share(in_domain),
            region: share(in_region),
            all: share(all),
        }
    }
}

impl Default for Share {
    fn default() -> Self {
        Self {
            domain: 1.0,
            region: 1.0,
            all: 1.0,
        }
    }
}
