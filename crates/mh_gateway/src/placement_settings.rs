use std::time::Duration;

use serde::Deserialize;

use crate::{PlacementMode, time_text};

/// How objects are assigned to the servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Assignment {
    /// Rendezvous hashing over weights that are computed from all slots of a region.
    #[default]
    Rendezvous,
    /// Few moves when servers are added and removed; see [`mh_route::objects::assignment`].
    Stable,
}

/// Settings of the placement of requests on servers. All VMs of a deployment should have the same ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// How the objects of callers are distributed over failure domains.
    pub distribution: PlacementMode,
    /// How objects are assigned to servers.
    pub assignment: Assignment,
    /// Time over which the objects of a drained failure domain move to other servers, from when this VM learns of the
    /// drain; zero to move them at once. It applies to the stable assignment only. A server whose own entry says that
    /// it leaves gets no more requests at once.
    #[serde(deserialize_with = "time_text::deserialize")]
    pub drain_spread: Duration,
}
