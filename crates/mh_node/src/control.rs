use std::collections::VecDeque;

use mh_config::{ChangeRow, Problems, Settings};
use mh_types::Revision;

/// Changes kept in memory for peers that are a little behind.
const LOG_LEN: usize = 1024;

/// The settings that this VM holds, with the latest changes.
#[derive(Debug, Default)]
pub(crate) struct Control {
    settings: Settings,
    log: VecDeque<(Revision, String)>,
}

impl Control {
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn revision(&self) -> Revision {
        self.settings.revision()
    }

    /// Takes a whole set of settings; an older one is ignored.
    pub(crate) fn replace(&mut self, settings: Settings) -> bool {
        let newer = settings.revision() > self.revision();
        if newer {
            self.settings = settings;
            self.log.clear();
        }
        newer
    }

    /// Applies the row of the next change; one that is already applied or not the next is ignored.
    ///
    /// # Errors
    ///
    /// The problems of a row that cannot be decoded.
    pub(crate) fn apply(&mut self, row: &str) -> Result<bool, Problems> {
        let stored = ChangeRow::decode("change", row)?;
        if stored.revision != self.revision().next() {
            return Ok(false);
        }
        self.settings = self
            .settings
            .apply_with_created(stored.revision, stored.created, &stored.change()?);
        self.log.push_back((stored.revision, row.to_owned()));
        if self.log.len() > LOG_LEN {
            self.log.pop_front();
        }
        Ok(true)
    }

    /// The rows of the changes after `since`; `None` when they are no longer held.
    pub(crate) fn changes_since(&self, since: Revision) -> Option<Vec<String>> {
        let first = self
            .log
            .front()
            .map_or(self.revision().next(), |(revision, _)| *revision);
        let rows = self.log.iter().filter(|(revision, _)| *revision > since);
        (since.next() >= first).then(|| rows.map(|(_, row)| row.clone()).collect())
    }

    /// Every document as a row.
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
