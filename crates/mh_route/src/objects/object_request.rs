use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use mh_types::{RegionName, ServerName, VersionName};

use super::WorkTimes;
use crate::admission::LevelIndex;

/// Filter for the server versions that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Allows every version.
    #[default]
    Any,
    /// Allows only this version.
    Only(&'a VersionName),
    /// Allows every version but this one.
    Except(&'a VersionName),
}

impl VersionFilter<'_> {
    pub(crate) fn allow(self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => wanted == version,
            Self::Except(other) => other != version,
        }
    }
}

/// Requirements of a request on its server.
#[derive(Clone, Copy)]
pub struct ObjectRequest<'a> {
    /// Hash of the object that the request is for; `None` spreads requests evenly.
    pub object: Option<u64>,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Regions whose servers may serve the request; empty for all.
    pub regions: &'a [RegionName],
    /// Versions that may serve the request.
    pub versions: VersionFilter<'a>,
    /// Servers that must not be used, such as those of earlier attempts.
    pub exclude: &'a [ServerName],
    /// Whether to fill one server after the other, each up to its slots, so that even few requests show how a server
    /// behaves under load. The order is the same for all objects; whether a server holds the object still counts in the
    /// forecast.
    pub pack: bool,
    /// Urgency of the request, where requests of a service differ in it.
    pub level: Option<LevelIndex>,
    /// Measured work times of the route.
    pub work_times: &'a Arc<WorkTimes>,
}

impl<'a> ObjectRequest<'a> {
    /// Creates a request that every server of the service may serve.
    pub fn new(object: Option<u64>, remaining: Duration, work_times: &'a Arc<WorkTimes>) -> Self {
        Self {
            object,
            remaining,
            regions: &[],
            versions: VersionFilter::Any,
            exclude: &[],
            pack: false,
            level: None,
            work_times,
        }
    }
}

impl fmt::Debug for ObjectRequest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ObjectRequest")
            .field("object", &self.object)
            .field("remaining", &self.remaining)
            .field("regions", &self.regions)
            .field("versions", &self.versions)
            .finish_non_exhaustive()
    }
}
