use mh_types::RouteName;
use serde::Serialize;

/// State of an [`Admission`](super::Admission), for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionView {
    /// Whether requests were refused in the last seconds.
    pub short: bool,
    /// Requests refused since the start.
    pub refused: u64,
    /// All levels, the most urgent first.
    pub levels: Vec<LevelView>,
}

/// State of one level.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelView {
    /// Priority of the organisations.
    pub org_priority: u32,
    /// Priority of the routes.
    pub priority: u32,
    /// Routes.
    pub routes: Vec<RouteName>,
    /// Wait for a slot that its callers can bear, in milliseconds.
    pub bearable_wait_ms: u64,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests admitted a second.
    pub admitted_per_s: f64,
}
