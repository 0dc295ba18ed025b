use serde::{Deserialize, Serialize};

/// Fractions of the servers' slots that this VM may use, each from 0 to 1.
///
/// Other VMs send to the same servers, so a VM that used all slots would overload them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotFractions {
    /// Fraction of each server's slots in the VM's own failure domain.
    pub domain: f64,
    /// Fraction of each server's slots in the other domains of the VM's region.
    pub region: f64,
    /// Fraction of each server's slots in other regions, and of all slots of the service together.
    pub all: f64,
}

impl SlotFractions {
    /// Equal fractions for the `in_domain` VMs of this VM's domain, the `in_region` VMs of its region and `all` VMs.
    ///
    /// Each number includes this VM; zero counts as one.
    pub fn even(in_domain: usize, in_region: usize, all: usize) -> Self {
        let fraction = |vms: usize| 1.0 / vms.max(1) as f64;
        Self {
            domain: fraction(in_domain),
            region: fraction(in_region),
            all: fraction(all),
        }
    }
}

impl Default for SlotFractions {
    fn default() -> Self {
        Self {
            domain: 1.0,
            region: 1.0,
            all: 1.0,
        }
    }
}
