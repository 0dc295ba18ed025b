use std::time::Duration;

use tokio::time::Instant;

use crate::RegisteredServer;

/// How long a version that is new to a service waits for its shift order, which arrives on another feed. It is longer
/// than the time in which a dead connection of that feed is detected.
const NEW_VERSION_HOLD: Duration = Duration::from_secs(8);

/// A registered server with the state that this VM derived from its entry.
#[derive(Clone, Debug)]
pub(crate) struct KnownServer {
    pub(crate) entry: RegisteredServer,
    /// End of the cold period by this VM's clock.
    pub(crate) cold_until: Option<Instant>,
    /// Whether its version was already known when the server registered.
    pub(crate) is_version_known: bool,
    /// When its version may be used without a shift order.
    pub(crate) version_open_at: Instant,
    /// When the removal of its entry takes effect; `None` while it is registered.
    pub(crate) removed_at: Option<Instant>,
}

impl KnownServer {
    pub(crate) fn new(entry: RegisteredServer, now: Instant, is_version_known: bool) -> Self {
        let cold_until = Some(entry.cold_for)
            .filter(|time| !time.is_zero())
            .and_then(|time| now.checked_add(time));
        Self {
            entry,
            cold_until,
            is_version_known,
            version_open_at: now + NEW_VERSION_HOLD,
            removed_at: None,
        }
    }

    /// Returns the entry with the remaining cold time.
    pub(crate) fn entry_at(&self, now: Instant) -> RegisteredServer {
        let cold_for = self.cold_until.map(|until| until.saturating_duration_since(now));
        RegisteredServer {
            cold_for: cold_for.unwrap_or_default(),
            ..self.entry.clone()
        }
    }

    /// Replaces the entry by a newer one of the same server.
    pub(crate) fn replace(&mut self, entry: RegisteredServer, now: Instant) {
        let (is_version_known, version_open_at) = (self.is_version_known, self.version_open_at);
        *self = Self::new(entry, now, is_version_known);
        self.version_open_at = version_open_at;
    }
}
