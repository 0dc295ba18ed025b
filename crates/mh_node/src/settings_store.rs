use std::sync::Arc;

use mh_config::{ChangeRow, Settings};
use mh_platform::{Result, Row, Table};
use mh_types::{Code, Revision};
use serde::{Deserialize, Serialize};

/// Path of the row with the newest revision.
pub(crate) const HEAD_PATH: &str = "/mangohook/head";
/// Path prefix of the change rows, which are keyed by revision.
const LOG_ROW_PREFIX: &str = "/mangohook/log/";
/// Path prefix of the document rows, which are keyed by settings path.
const DOC_ROW_PREFIX: &str = "/mangohook/docs";
/// Rows per list request.
const PAGE_ROWS: u32 = 500;
/// Maximum number of missing changes to read from the log; if more are missing, every document is read instead.
const MAX_SINGLE_CHANGES: u64 = 200;

/// Settings rows in the platform's table.
#[derive(Clone, Debug)]
pub(crate) struct SettingsStore {
    pub(crate) table: Arc<dyn Table>,
}

/// Newest revision and the version of its row.
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

/// Rows that bring a VM from its revision to the table's.
#[derive(Debug)]
pub(crate) enum SettingsUpdate {
    /// Changes in order of revision.
    Changes(Vec<Row>),
    /// Every document, with the revision of the set.
    Full(Revision, Vec<Row>),
}

pub(crate) fn head_value(revision: Revision) -> String {
    serde_json::to_string(&HeadRow { revision }).unwrap_or_default()
}

pub(crate) fn log_path(revision: Revision) -> String {
    format!("{LOG_ROW_PREFIX}{:020}", revision.0)
}

pub(crate) fn doc_path(path: &str) -> String {
    format!("{DOC_ROW_PREFIX}{path}")
}

impl SettingsStore {
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

    /// Reads the rows that lead from revision `local_revision` to revision `head`.
    pub(crate) async fn update(&self, local_revision: Revision, head: Revision) -> Result<SettingsUpdate> {
        if head.0 - local_revision.0 <= MAX_SINGLE_CHANGES {
            let rows = self
                .table
                .list(LOG_ROW_PREFIX, &log_path(local_revision), MAX_SINGLE_CHANGES as u32)
                .await?;
            return Ok(SettingsUpdate::Changes(rows));
        }
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.path.clone()).unwrap_or_default();
            let page = self.table.list(DOC_ROW_PREFIX, &after, PAGE_ROWS).await?;
            let is_last_page = page.len() < PAGE_ROWS as usize;
            rows.extend(page);
            if is_last_page {
                // Rows may be newer than `head`; their changes are later applied again from the log, without effect.
                return Ok(SettingsUpdate::Full(head, rows));
            }
        }
    }

    /// Returns changes, newest first, of one path or, if `path` is empty, of all paths.
    pub(crate) async fn history(&self, path: &str, head: Revision, limit: u32) -> Result<Vec<ChangeRow>> {
        let mut found = Vec::new();
        let mut high = head.0;
        while high > 0 && found.len() < limit as usize {
            let low = high.saturating_sub(u64::from(PAGE_ROWS));
            let rows = self
                .table
                .list(LOG_ROW_PREFIX, &log_path(Revision(low)), PAGE_ROWS)
                .await?;
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

impl SettingsUpdate {
    /// Builds the settings from the rows of a [`SettingsUpdate::Full`].
    pub(crate) fn settings(revision: Revision, rows: &[Row]) -> std::result::Result<Settings, mh_config::Problems> {
        Settings::from_rows(revision, rows.iter().map(|row| (row.path.as_str(), row.value.as_str())))
    }
}
