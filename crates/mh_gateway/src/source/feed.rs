use std::fmt;

use serde::{Deserialize, Serialize};

/// A kind of data whose changes the source reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Feed {
    /// The operators' plan, shift orders and drained failure domains.
    Settings,
    /// The server registry: the entries of the backend servers.
    Servers,
    /// The progress of shifts.
    Shifts,
    /// The VM list.
    Vms,
}

impl Feed {
    /// All feeds.
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
