use std::time::Duration;

use mh_types::{StoreVersion, VersionName};
use serde::{Deserialize, Serialize};

use super::ShiftOrder;
use crate::ShiftPhase;

/// Progress of a shift, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftRecord {
    /// The new version.
    pub to: VersionName,
    /// Version of the order that the record belongs to.
    pub order: StoreVersion,
    /// The store's clock when the order was first seen.
    pub started: Duration,
    /// Phase of the shift.
    pub phase: ShiftPhase,
    /// Version of the record in the store; the number is 0 before it is written.
    pub version: StoreVersion,
    /// Era of the store in which the record was written; `None` if it does not say so.
    pub written_in: Option<u64>,
}

impl ShiftRecord {
    /// Returns whether this is the record of the shift that `order` started.
    ///
    /// The record may name the order by an earlier era: a restore that keeps a record also keeps the order that was
    /// written before it.
    pub(crate) fn belongs_to(&self, order: &ShiftOrder) -> bool {
        self.to == order.to && self.order.number == order.version.number && self.order.era <= order.version.era
    }

    /// Returns whether this record of a shift is later than `other`.
    pub(crate) fn is_ahead_of(&self, other: &Self) -> bool {
        let (progress, other_progress) = (self.phase.progress(), other.phase.progress());
        progress > other_progress || (progress == other_progress && self.started < other.started)
    }
}
