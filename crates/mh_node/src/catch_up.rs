use mh_config::{Problems, Settings};
use mh_types::{Code, Event, Revision, emit};
use tokio::time::Instant;

use crate::Node;
use crate::local_settings::LocalSettings;
use crate::node::lock;
use crate::settings_store::{Head, SettingsUpdate};

impl Node {
    /// Reads the head row and applies every change that is newer than the local settings.
    pub(crate) async fn catch_up(&self) -> mh_platform::Result<Head> {
        let requested_at = Instant::now();
        let head = self.store.head().await?;
        loop {
            let local_revision = lock(&self.local_settings).revision();
            self.with_freshness(|state| state.tracker.on_head_read(requested_at, head.revision));
            if local_revision >= head.revision {
                return Ok(head);
            }
            let update = self.store.update(local_revision, head.revision).await?;
            if !self.apply_update(update, local_revision) {
                return Err(error_stack::Report::new(mh_platform::PlatformError(
                    Code::RowUndecodable,
                )));
            }
        }
    }

    /// Applies an update; returns `false` if it did not advance the revision.
    fn apply_update(&self, update: SettingsUpdate, local_revision: Revision) -> bool {
        self.change_settings(local_revision, |local_settings| match update {
            SettingsUpdate::Changes(rows) => rows
                .iter()
                .try_for_each(|row| local_settings.apply(&row.value).map(|_| ())),
            SettingsUpdate::Full(revision, rows) => {
                local_settings.replace(SettingsUpdate::settings(revision, &rows)?);
                Ok(())
            }
        })
    }

    /// Applies settings that a peer sent; returns `false` if they did not advance the revision.
    pub(crate) fn apply_peer_changes(&self, changes: &mh_peer::Changes) -> bool {
        let local_revision = lock(&self.local_settings).revision();
        if changes.revision <= local_revision {
            return false;
        }
        self.change_settings(local_revision, |local_settings| {
            if changes.whole {
                let rows = changes.rows.iter().map(|row| ("peer", row.as_str()));
                local_settings.replace(Settings::from_rows(changes.revision, rows)?);
                return Ok(());
            }
            changes
                .rows
                .iter()
                .try_for_each(|row| local_settings.apply(row).map(|_| ()))
        })
    }

    /// Changes the local settings, and puts them in force if their revision is now above `local_revision`.
    fn change_settings(
        &self,
        local_revision: Revision,
        change: impl FnOnce(&mut LocalSettings) -> Result<(), Problems>,
    ) -> bool {
        let (applied, advanced) = {
            let mut local_settings = lock(&self.local_settings);
            let applied = change(&mut local_settings);
            (applied, local_settings.revision() > local_revision)
        };
        if let Err(problems) = applied {
            emit!(Event::SettingsRejected, problems = problems);
        }
        if advanced {
            self.publish();
            self.heartbeat_now.notify_one();
        }
        advanced
    }
}
