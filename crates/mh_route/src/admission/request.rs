use std::time::Duration;

use mh_types::RouteName;

/// A route whose requests a service serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRoute {
    /// Name.
    pub name: RouteName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Index of the requests of one route by organisations of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankIndex(pub(super) usize);

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its rank.
    pub rank: RankIndex,
    /// Hash of its organisation.
    pub org: u64,
    /// Time until its deadline.
    pub remaining: Duration,
}
