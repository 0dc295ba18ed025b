use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Feed, PlanChange, Update};

/// What a VM that reads the store tells the others of its region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct News {
    /// The store's clock.
    pub(crate) clock: Duration,
    /// What the reader holds of each feed, in the order of [`Feed::ALL`].
    pub(crate) feeds: [FeedVersions; Feed::ALL.len()],
    /// Time since the register of servers could last not be read, if entries may still be missing because of that.
    pub(crate) register_down: Option<Duration>,
    /// The latest changes, if they are few. A plan is told as `plan_change` instead.
    pub(crate) changes: Option<Changes>,
    /// What leads from the plan before these changes to the one after them.
    pub(crate) plan_change: Option<PlanChange>,
}

/// How much of a feed a VM holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FeedVersions {
    /// Version up to which it knows of all changes.
    pub(crate) held: u64,
    /// Version of the last change.
    pub(crate) changed: u64,
}

/// Changes of one feed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) feed: Feed,
    /// Version of the change before these.
    pub(crate) after: u64,
    pub(crate) updates: Vec<Update>,
}

/// What a VM that missed changes gets from another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Fetched {
    pub(crate) clock: Duration,
    pub(crate) versions: FeedVersions,
    /// Whether the updates are all that there is, not only changes.
    pub(crate) is_whole: bool,
    pub(crate) updates: Vec<Update>,
}
