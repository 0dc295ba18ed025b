use std::collections::BTreeMap;

use mh_config::{ChangeRow, Problems, Settings};
use mh_platform::{Commit, CommitOutcome, Expect, Write};
use mh_types::{Code, Event, Revision, emit};
use tokio::time::Instant;

use crate::Node;
use crate::local_settings::LocalSettings;
use crate::settings_store::{HEAD_PATH, Head, SettingsUpdate, doc_path, head_value, log_path};

impl Node {
    /// Reads the head row and applies every change that is newer than the local settings.
    pub(crate) async fn catch_up(&self) -> mh_platform::Result<Head> {
        let requested_at = Instant::now();
        let mut head = self.store.head().await?;
        loop {
            let local_revision = self.local_settings.lock().revision();
            if local_revision > head.revision && self.write_back(head).await? {
                head = self.store.head().await?;
                continue;
            }
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

    /// Writes the changes that the table has lost, because it was restored from an older copy; returns whether it holds
    /// them now.
    ///
    /// Without them no change could be committed, and the revisions would be given out again for other changes. The
    /// condition on the head row fails if another VM has written them, or if the read of the head row was outdated.
    async fn write_back(&self, head: Head) -> mh_platform::Result<bool> {
        let (revision, rows) = {
            let local_settings = self.local_settings.lock();
            (local_settings.revision(), local_settings.changes_since(head.revision))
        };
        let changes = rows.unwrap_or_default();
        let changes = changes.iter().map(|row| ChangeRow::decode("change", row));
        let Ok(changes) = changes.collect::<Result<Vec<ChangeRow>, _>>() else {
            return Ok(false);
        };
        // Older changes may no longer be in memory.
        if changes.len() as u64 != revision.0 - head.revision.0 {
            return Ok(false);
        }
        let expect_head = head.version.map_or(Expect::Absent, Expect::Version);
        let mut commit = Commit::new().with(Write::set(HEAD_PATH, head_value(revision), expect_head));
        let mut docs = BTreeMap::new();
        for change in &changes {
            commit = commit.with(Write::set(log_path(change.revision), change.encode(), Expect::Absent));
            docs.insert(&change.path, change);
        }
        for (path, change) in docs {
            let path = doc_path(path);
            commit = commit.with(match &change.doc {
                Some(_) => Write::set(path, change.encode(), Expect::Any),
                None => Write::remove(path, Expect::Any),
            });
        }
        let outcome = self.store.table.commit(&commit).await?;
        let is_done = matches!(outcome, CommitOutcome::Done { .. });
        if is_done {
            emit!(
                Event::StoreRestored,
                revision = head.revision,
                written_again = changes.len()
            );
        }
        Ok(is_done)
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
        let local_revision = self.local_settings.lock().revision();
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
            let mut local_settings = self.local_settings.lock();
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
