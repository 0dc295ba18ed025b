use std::time::Duration;

use mh_types::VersionName;
use serde::{Deserialize, Serialize};

use crate::ShiftPhase;

/// How far a shift is, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftRecord {
    /// The new version.
    pub to: VersionName,
    /// Version of the order that the record answers.
    pub order: u64,
    /// The store's clock when the order was first seen.
    pub started: Duration,
    /// How far it is.
    pub phase: ShiftPhase,
    /// Version of the record in the store; 0 before it is written.
    pub version: u64,
}
