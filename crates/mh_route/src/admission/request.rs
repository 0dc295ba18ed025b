use mh_types::RouteName;

use super::CallerTime;
use super::recent_callers::LEVELS;

/// A route whose requests a service serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRoute {
    /// Name.
    pub name: RouteName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Index of the requests of one urgency: the priority of their organisation, then that of their route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LevelIndex(pub(super) usize);

impl LevelIndex {
    /// Index among the levels that are told apart at each server.
    pub(super) fn at_server(self) -> usize {
        self.0.min(LEVELS - 1)
    }
}

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its urgency.
    pub level: LevelIndex,
    /// The time that it has.
    pub time: CallerTime,
}
