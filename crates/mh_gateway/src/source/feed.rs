use std::fmt;

use serde::{Deserialize, Serialize};

/// A kind of data that the source tells the changes of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Feed {
    /// The operators' plan, shift orders and drained failure domains.
    Settings,
    /// The register of backend servers.
    Servers,
    /// How far shifts are.
    Shifts,
    /// The list of VMs.
    Vms,
}

impl Feed {
    /// Every feed.
    pub const ALL: [Self; 4] = [Self::Settings, Self::Servers, Self::Shifts, Self::Vms];
}

impl fmt::Display for Feed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "settings",
            Self::Servers => "servers",
            Self::Shifts => "shifts",
            Self::Vms => "vms",
        })
    }
}
