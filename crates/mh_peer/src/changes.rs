use mh_types::Revision;

/// Changes to the settings after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Revision of the settings after all rows are applied.
    pub revision: Revision,
    /// Whether the rows hold every document rather than individual changes.
    pub whole: bool,
    /// Rows in the table's encoding, in order of revision.
    pub rows: Vec<String>,
}
