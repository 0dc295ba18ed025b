use mh_types::{Revision, ServiceName, ShiftName};

use super::qualify;
use crate::{Entry, Shift};

/// A version shift with qualified names.
#[derive(Clone, Debug, PartialEq)]
pub struct CompiledShift {
    /// Qualified name.
    pub name: ShiftName,
    /// Revision that created the shift.
    pub created: Revision,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// The document.
    pub doc: Shift,
}

impl CompiledShift {
    pub(crate) fn new(name: &str, team: &str, entry: &Entry, doc: &Shift) -> Self {
        Self {
            name: name.into(),
            created: entry.created,
            service: qualify(team, &doc.service).into(),
            doc: doc.clone(),
        }
    }
}
