use arcstr::ArcStr;
use mh_types::OrgName;

use super::qualify;
use crate::Key;

/// Id and organisation of a caller key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompiledKey {
    /// Qualified id of the key, for logs and dumps.
    pub id: ArcStr,
    /// Organisation that the key was granted to.
    pub org: OrgName,
}

impl CompiledKey {
    pub(crate) fn new(id: &str, team: &str, doc: &Key) -> Self {
        Self {
            id: id.into(),
            org: qualify(team, &doc.organisation).into(),
        }
    }
}
