use std::time::Duration;

use mh_types::{StoreVersion, VersionName};
use serde::{Deserialize, Serialize};

/// An operator's order to move a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftOrder {
    /// The new version.
    pub to: VersionName,
    /// Time by which the shift must have ended.
    pub duration: Duration,
    /// Version of the order in the store; a later order has a higher one.
    pub version: StoreVersion,
}
