use mh_types::ServiceName;

use super::qualify;
use crate::Drain;

/// A planned drain with qualified names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompiledDrain {
    /// The service that is drained.
    pub service: ServiceName,
    /// The backend server to drain; `None` when the drain covers a failure domain.
    pub server: Option<String>,
    /// The failure domain to drain; `None` when the drain covers one backend server.
    pub domain: Option<String>,
}

impl CompiledDrain {
    pub(crate) fn new(team: &str, doc: &Drain) -> Self {
        Self {
            service: qualify(team, &doc.service).into(),
            server: doc.server.clone(),
            domain: doc.domain.clone(),
        }
    }
}
