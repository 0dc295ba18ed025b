use tokio::time::Instant;

use crate::RegisteredServer;

/// A registered server with the state that this VM derived from its entry.
#[derive(Clone, Debug)]
pub(crate) struct KnownServer {
    pub(crate) entry: RegisteredServer,
    /// End of the cold period by this VM's clock.
    pub(crate) cold_until: Option<Instant>,
    /// When the removal of its entry takes effect; `None` while it is registered.
    pub(crate) removed_at: Option<Instant>,
}

impl KnownServer {
    pub(crate) fn new(entry: RegisteredServer, now: Instant) -> Self {
        let cold_until = Some(entry.cold_for)
            .filter(|time| !time.is_zero())
            .and_then(|time| now.checked_add(time));
        Self {
            entry,
            cold_until,
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
        *self = Self::new(entry, now);
    }
}
