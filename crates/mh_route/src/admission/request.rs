use std::time::Duration;

use mh_types::RouteName;

/// Shortest wait of a caller that returned after a refusal; it is below the shortest `Retry-After`.
const RETURNED_AFTER: Duration = Duration::from_millis(40);

/// A route whose requests a service serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRoute {
    /// Name.
    pub name: RouteName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time within which a response has its full value.
    pub target: Duration,
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
    /// Time for which its caller has waited before this attempt.
    pub waited: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
}

impl AdmissionRequest {
    /// Whether this is the first attempt of its caller.
    pub(super) fn is_new(&self) -> bool {
        self.waited < RETURNED_AFTER
    }
}
