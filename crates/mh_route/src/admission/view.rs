use mh_types::RouteName;
use serde::Serialize;

/// State of an [`Admission`](super::Admission), for the state dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionView {
    /// Whether a shortage is measured.
    pub short: bool,
    /// Requests refused since the start.
    pub refused: u64,
    /// All ranks.
    pub ranks: Vec<RankView>,
}

/// State of one rank.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RankView {
    /// Route.
    pub route: RouteName,
    /// Priority of the organisations.
    pub org_priority: u32,
    /// Priority of the route.
    pub priority: u32,
    /// Share of requests that were pressed for time in the last seconds.
    pub pressed: f64,
    /// Share of admitted requests.
    pub admitted: f64,
}
