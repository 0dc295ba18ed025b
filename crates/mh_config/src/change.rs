use std::sync::Arc;

use crate::{Doc, DocPath};

/// One change to the settings: a document set or removed.
#[derive(Clone, Debug)]
pub struct Change {
    path: DocPath,
    doc: Option<Arc<Doc>>,
}

impl Change {
    /// Sets the document at `path`.
    pub fn set(path: DocPath, doc: Doc) -> Self {
        Self {
            path,
            doc: Some(Arc::new(doc)),
        }
    }

    /// Removes the document at `path`.
    pub fn remove(path: DocPath) -> Self {
        Self { path, doc: None }
    }

    /// The path of the document that changes.
    pub fn path(&self) -> &DocPath {
        &self.path
    }

    /// The new document; `None` when the document is removed.
    pub fn doc(&self) -> Option<&Arc<Doc>> {
        self.doc.as_ref()
    }
}
