use std::collections::VecDeque;

use mh_config::{ChangeRow, Problems, Settings};
use mh_types::Revision;

/// Maximum number of changes kept in memory for peers that are a few revisions behind.
const MAX_LOGGED_CHANGES: usize = 1024;

/// Settings that this VM holds, with the latest changes.
#[derive(Debug, Default)]
pub(crate) struct LocalSettings {
    settings: Settings,
    change_log: VecDeque<(Revision, String)>,
}

impl LocalSettings {
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn revision(&self) -> Revision {
        self.settings.revision()
    }

    /// Replaces the settings; a set that is not newer is ignored.
    ///
    /// Returns whether the settings were replaced.
    pub(crate) fn replace(&mut self, settings: Settings) -> bool {
        let is_newer = settings.revision() > self.revision();
        if is_newer {
            self.settings = settings;
            self.change_log.clear();
        }
        is_newer
    }

    /// Applies the row of the next change; a row of any other revision is ignored.
    ///
    /// Returns whether the row was applied.
    ///
    /// # Errors
    ///
    /// [`Problems`] if the row cannot be decoded.
    pub(crate) fn apply(&mut self, row: &str) -> Result<bool, Problems> {
        let stored = ChangeRow::decode("change", row)?;
        if stored.revision != self.revision().next() {
            return Ok(false);
        }
        self.settings = self
            .settings
            .apply_with_created(stored.revision, stored.created, &stored.change()?);
        self.change_log.push_back((stored.revision, row.to_owned()));
        if self.change_log.len() > MAX_LOGGED_CHANGES {
            self.change_log.pop_front();
        }
        Ok(true)
    }

    /// Returns the rows of the changes after `since`, or `None` if they are no longer in memory.
    pub(crate) fn changes_since(&self, since: Revision) -> Option<Vec<String>> {
        let first = self
            .change_log
            .front()
            .map_or(self.revision().next(), |(revision, _)| *revision);
        let rows = self.change_log.iter().filter(|(revision, _)| *revision > since);
        (since.next() >= first).then(|| rows.map(|(_, row)| row.clone()).collect())
    }

    /// Returns every document as a row.
    pub(crate) fn all_rows(&self) -> Vec<String> {
        let rows = self.settings.iter().map(|(path, entry)| {
            ChangeRow {
                format: mh_config::FORMAT,
                path: path.to_string(),
                revision: entry.revision,
                created: entry.created,
                write_id: String::new(),
                by: String::new(),
                at: String::new(),
                doc: serde_json::value::RawValue::from_string(entry.doc.to_json()).ok(),
            }
            .encode()
        });
        rows.collect()
    }
}
