use mh_types::ServerName;

use crate::ServerLimit;

/// Change of the limit that is in force for a server on this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: ServerName,
    /// Limit before the change.
    pub before: Option<ServerLimit>,
    /// Limit in force now.
    pub limit: Option<ServerLimit>,
    /// Number of changes of the limit that are known.
    pub change: u32,
}
