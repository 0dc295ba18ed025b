use std::time::Duration;

use mh_types::VersionName;
use serde::{Deserialize, Serialize};

use crate::ShiftPhase;

/// Progress of a shift, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftRecord {
    /// The new version.
    pub to: VersionName,
    /// Version of the order that the record belongs to.
    pub order: u64,
    /// The store's clock when the order was first seen.
    pub started: Duration,
    /// Phase of the shift.
    pub phase: ShiftPhase,
    /// Version of the record in the store; 0 before it is written.
    pub version: u64,
}
