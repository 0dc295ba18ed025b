use std::time::Duration;

use mh_types::StoreVersion;
use serde::{Deserialize, Serialize};

use crate::{Feed, PlanChange, Update};

/// Report of a reader of the store to the other VMs of its region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReaderReport {
    /// The store's clock.
    pub(crate) clock: Duration,
    /// Versions that the reader holds, in the order of [`Feed::ALL`]. Those of the settings are unstated unless the reader
    /// has just learned them.
    pub(crate) feeds: [FeedVersions; Feed::ALL.len()],
    /// Time since the last failed read of the server registry, if entries may still be missing because of that outage.
    pub(crate) register_down: Option<Duration>,
    /// The latest changes, if they fit. A plan is sent as `plan_change` instead.
    pub(crate) changes: Option<Changes>,
    /// Difference between the plans before and after these changes.
    pub(crate) plan_change: Option<PlanChange>,
}

impl ReaderReport {
    /// Returns the newest era of the store that the reader has read from.
    pub(crate) fn era(&self) -> u64 {
        self.feeds
            .iter()
            .map(|versions| versions.held.era)
            .max()
            .unwrap_or_default()
    }
}

/// Versions up to which a VM holds a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FeedVersions {
    /// Version up to which all changes are known.
    pub(crate) held: StoreVersion,
    /// Version of the last change.
    pub(crate) changed: StoreVersion,
}

impl FeedVersions {
    /// Stands for a feed of which a report says nothing. Earlier releases take it for a version that they hold.
    pub(crate) const UNSTATED: Self = Self {
        held: StoreVersion::ZERO,
        changed: StoreVersion::ZERO,
    };
}

/// Changes of one feed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) feed: Feed,
    /// Version of the change before these.
    pub(crate) after: StoreVersion,
    pub(crate) updates: Vec<Update>,
}

/// Response to a VM that missed changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FetchResponse {
    pub(crate) clock: Duration,
    pub(crate) versions: FeedVersions,
    /// Whether the updates are a full snapshot rather than changes.
    pub(crate) is_whole: bool,
    pub(crate) updates: Vec<Update>,
}
