use std::sync::Arc;

use mh_config::{ChangeRow, Settings};
use mh_platform::{Result, Row, Table};
use mh_types::{Code, Revision};
use serde::{Deserialize, Serialize};

/// Row with the newest revision.
pub(crate) const HEAD_PATH: &str = "/mangohook/head";
/// Rows of the changes, by revision.
const LOG_PREFIX: &str = "/mangohook/log/";
/// Rows of the documents, by settings path.
const DOC_PREFIX: &str = "/mangohook/docs";
/// Rows read at once.
const PAGE: u32 = 500;
/// Changes that are read one by one; more are read as a whole set.
const MAX_STEPS: u64 = 200;

/// The settings rows in the platform's table.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    pub(crate) table: Arc<dyn Table>,
}

/// The newest revision and the version of its row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) revision: Revision,
    /// Version of the row; `None` while it does not exist.
    pub(crate) version: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct HeadRow {
    revision: Revision,
}

/// What a VM needs to get from its revision to the table's.
#[derive(Debug)]
pub(crate) enum Update {
    /// Single changes in order.
    Steps(Vec<Row>),
    /// Every document.
    Whole(Revision, Vec<Row>),
}

pub(crate) fn head_value(revision: Revision) -> String {
    serde_json::to_string(&HeadRow { revision }).unwrap_or_default()
}

pub(crate) fn log_path(revision: Revision) -> String {
    format!("{LOG_PREFIX}{:020}", revision.0)
}

pub(crate) fn doc_path(path: &str) -> String {
    format!("{DOC_PREFIX}{path}")
}

impl Store {
    pub(crate) async fn head(&self) -> Result<Head> {
        let Some(row) = self.table.read(HEAD_PATH).await? else {
            return Ok(Head::default());
        };
        let HeadRow { revision } = serde_json::from_str(&row.value).map_err(|e| {
            error_stack::Report::new(e).change_context(mh_platform::PlatformError(Code::RowUndecodable))
        })?;
        Ok(Head {
            revision,
            version: Some(row.version),
        })
    }

    /// Reads what leads from `held` to `head`.
    pub(crate) async fn update(&self, held: Revision, head: Revision) -> Result<Update> {
        if head.0 - held.0 <= MAX_STEPS {
            let rows = self.table.list(LOG_PREFIX, &log_path(held), MAX_STEPS as u32).await?;
            return Ok(Update::Steps(rows));
        }
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.path.clone()).unwrap_or_default();
            let page = self.table.list(DOC_PREFIX, &after, PAGE).await?;
            let done = page.len() < PAGE as usize;
            rows.extend(page);
            if done {
                // Rows written after `head` was read are applied again, without effect, from the log.
                return Ok(Update::Whole(head, rows));
            }
        }
    }

    /// Newest changes first, of one path or all.
    pub(crate) async fn history(&self, path: &str, head: Revision, limit: u32) -> Result<Vec<ChangeRow>> {
        let mut found = Vec::new();
        let mut high = head.0;
        while high > 0 && found.len() < limit as usize {
            let low = high.saturating_sub(u64::from(PAGE));
            let rows = self.table.list(LOG_PREFIX, &log_path(Revision(low)), PAGE).await?;
            let stored = rows
                .iter()
                .rev()
                .filter_map(|row| ChangeRow::decode(&row.path, &row.value).ok());
            found.extend(stored.filter(|s| s.revision.0 <= high && (path.is_empty() || s.path == path)));
            high = low;
        }
        found.truncate(limit as usize);
        Ok(found)
    }
}

impl Update {
    /// Builds the whole settings of an [`Update::Whole`].
    pub(crate) fn settings(revision: Revision, rows: &[Row]) -> std::result::Result<Settings, mh_config::Problems> {
        Settings::from_rows(revision, rows.iter().map(|row| (row.path.as_str(), row.value.as_str())))
    }
}
