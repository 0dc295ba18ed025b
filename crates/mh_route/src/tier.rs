use serde::{Deserialize, Serialize};

use crate::SlotFractions;

/// Distance of a server from this VM, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
    /// In the VM's failure domain.
    Domain,
    /// In another failure domain of the VM's region.
    Region,
    /// In another region.
    Other,
}

impl Tier {
    /// Fraction of the slots of a server at this distance that this VM may use.
    pub(crate) fn fraction(self, fractions: &SlotFractions) -> f64 {
        match self {
            Self::Domain => fractions.domain,
            Self::Region => fractions.region,
            Self::Other => fractions.all,
        }
        .clamp(0.0, 1.0)
    }
}
