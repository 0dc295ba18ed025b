use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use mh_types::{RegionName, ServerName, VersionName};

use super::WorkTimes;

/// Which back-end versions may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Versions<'a> {
    /// Every version.
    #[default]
    Any,
    /// Only this one.
    Only(&'a VersionName),
    /// Every other one.
    Except(&'a VersionName),
}

impl Versions<'_> {
    pub(crate) fn allow(self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => wanted == version,
            Self::Except(other) => other != version,
        }
    }
}

/// What a request needs of its server.
#[derive(Clone, Copy)]
pub struct ObjectAsk<'a> {
    /// Hash of the object that the request is about; `None` spreads requests evenly.
    pub object: Option<u64>,
    /// Time until the answer is of no use.
    pub left: Duration,
    /// Regions whose servers may get the request; empty for all.
    pub regions: &'a [RegionName],
    /// Versions that may serve.
    pub versions: Versions<'a>,
    /// Servers that must not be used, such as those that were tried.
    pub exclude: &'a [ServerName],
    /// Whether to fill one server after the other, each up to its slots, so that few requests show how it bears load. The
    /// order is the same for all objects; whether a server holds the object still counts in the forecast.
    pub pack: bool,
    /// Observed work times of the route.
    pub work: &'a Arc<WorkTimes>,
}

impl<'a> ObjectAsk<'a> {
    /// An ask that every server of the service may serve.
    pub fn new(object: Option<u64>, left: Duration, work: &'a Arc<WorkTimes>) -> Self {
        Self {
            object,
            left,
            regions: &[],
            versions: Versions::Any,
            exclude: &[],
            pack: false,
            work,
        }
    }
}

impl fmt::Debug for ObjectAsk<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ObjectAsk")
            .field("object", &self.object)
            .field("left", &self.left)
            .field("regions", &self.regions)
            .field("versions", &self.versions)
            .finish_non_exhaustive()
    }
}
