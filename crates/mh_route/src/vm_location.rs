use mh_types::{DomainName, RegionName};
use serde::{Deserialize, Serialize};

use crate::{ServerSpec, Tier};

/// Location of this VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLocation {
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
}

impl VmLocation {
    /// Distance of `server` from this VM.
    pub fn tier(&self, server: &ServerSpec) -> Tier {
        if server.domain == self.domain {
            Tier::Domain
        } else if server.region == self.region {
            Tier::Region
        } else {
            Tier::Other
        }
    }
}
