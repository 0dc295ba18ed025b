use serde::{Deserialize, Serialize};

use crate::Share;

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
    /// Share of this VM in a server at this distance.
    pub(crate) fn fraction(self, share: &Share) -> f64 {
        match self {
            Self::Domain => share.domain,
            Self::Region => share.region,
            Self::Other => share.all,
        }
        .clamp(0.0, 1.0)
    }
}
