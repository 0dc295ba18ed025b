use mh_types::{Code, Revision};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{Change, Doc, DocPath, Problem, Problems};

/// Row format that this version writes, and the newest that it reads.
pub const FORMAT: u32 = 1;

/// A settings change as stored in a table row and as sent between VMs.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeRow {
    /// Format number; a row with a higher one was written by a newer version.
    pub format: u32,
    /// Path of the document.
    pub path: String,
    /// Revision that wrote the row.
    pub revision: Revision,
    /// Revision that first created the document.
    pub created: Revision,
    /// Id of the commit, by which a writer finds out whether a write without a reply took effect.
    pub write_id: String,
    /// Author of the change.
    #[serde(default)]
    pub by: String,
    /// Time of the change, RFC 3339.
    #[serde(default)]
    pub at: String,
    /// The document; `null` when it was removed.
    pub doc: Option<Box<RawValue>>,
}

impl ChangeRow {
    /// Decodes the row's text.
    ///
    /// # Errors
    ///
    /// [`Code::FormatUnknown`] for a newer format, [`Code::RowUndecodable`] for anything else that cannot be read.
    pub fn decode(place: &str, text: &str) -> Result<Self, Problems> {
        #[derive(Deserialize)]
        struct Format {
            format: u32,
        }
        let undecodable =
            |e: &serde_json::Error| Problems::from(Problem::new(Code::RowUndecodable, place, e.to_string()));
        let Format { format } = serde_json::from_str(text).map_err(|e| undecodable(&e))?;
        if format > FORMAT {
            let detail = format!("format {format} is newer than {FORMAT}");
            return Err(Problem::new(Code::FormatUnknown, place, detail).into());
        }
        serde_json::from_str(text).map_err(|e| undecodable(&e))
    }

    /// Encodes the row as text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The change that the row describes.
    ///
    /// # Errors
    ///
    /// The errors of [`DocPath::parse`] and [`Doc::from_json`].
    pub fn change(&self) -> Result<Change, Problems> {
        let path = DocPath::parse(&self.path)?;
        match &self.doc {
            Some(raw) => Doc::from_json(&path, raw.get()).map(|doc| Change::set(path, doc)),
            None => Ok(Change::remove(path)),
        }
    }
}
