use std::time::Duration;

use tokio::time::Instant;

use crate::RegisteredServer;

/// How long a version that is new to a service is kept back. The order to shift to it arrives on another feed and may
/// be read a little later than the entries of its servers.
const NEW_VERSION_HOLD: Duration = Duration::from_millis(1500);

/// A listed server with what this VM derived from its entry.
#[derive(Clone, Debug)]
pub(crate) struct KnownServer {
    pub(crate) entry: RegisteredServer,
    /// Until when it is cold, by this VM's clock.
    pub(crate) cold_until: Option<Instant>,
    /// When its version may be used without an order.
    pub(crate) version_open_at: Instant,
    /// When the removal of its entry takes effect; `None` while it is listed.
    pub(crate) removed_at: Option<Instant>,
}

impl KnownServer {
    pub(crate) fn new(entry: RegisteredServer, now: Instant, is_version_known: bool) -> Self {
        let cold_until = (!entry.cold_for.is_zero()).then(|| now + entry.cold_for);
        let version_open_at = if is_version_known { now } else { now + NEW_VERSION_HOLD };
        Self {
            entry,
            cold_until,
            version_open_at,
            removed_at: None,
        }
    }

    /// Takes a newer entry of the same server.
    pub(crate) fn replace(&mut self, entry: RegisteredServer, now: Instant) {
        let version_open_at = self.version_open_at;
        *self = Self::new(entry, now, true);
        self.version_open_at = version_open_at;
    }
}
