use std::fmt;

use mh_types::{RouteName, VmName};
use serde::{Deserialize, Serialize};

use crate::FaultKind;

/// Fault of the new version that a VM detected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Affected route; `None` when only the sum over all routes shows the fault.
    pub route: Option<RouteName>,
    /// VM that detected it.
    pub by: VmName,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = self.route.as_ref().map_or("all routes", RouteName::as_str);
        write!(f, "{} on {route}, seen by {}", self.kind, self.by)
    }
}
