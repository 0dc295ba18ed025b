use std::fmt;

use mh_types::{ServerName, VersionName};

use crate::{Charge, SlotFractions};

/// Requirements of a request on its server.
#[derive(Clone, Copy, Default)]
pub struct PickRequest<'a> {
    /// Version that must serve the request; `None` accepts any.
    pub version: Option<&'a VersionName>,
    /// Servers that must not be used, such as those of earlier attempts.
    pub exclude: &'a [ServerName],
    /// Whether the request may safely run twice; only such requests try out a server that has failed.
    pub idempotent: bool,
    /// Fractions of the servers' slots that this VM may use.
    pub share: SlotFractions,
    /// Check against the budgets of the region and the link that the request loads.
    pub charge: Option<&'a dyn Charge>,
}

impl fmt::Debug for PickRequest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PickRequest")
            .field("version", &self.version)
            .field("exclude", &self.exclude)
            .field("idempotent", &self.idempotent)
            .field("share", &self.share)
            .field("charge", &self.charge.is_some())
            .finish()
    }
}
