use std::time::Duration;

use arcstr::ArcStr;
use mh_types::{OrgName, Revision, RouteName, ServiceName};

use super::qualify;
use crate::{Access, Execution, Route};

/// A route with qualified names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompiledRoute {
    /// Qualified name.
    pub name: RouteName,
    /// Revision that created the route.
    pub created: Revision,
    /// Path prefix without a trailing `/`.
    pub prefix: ArcStr,
    /// Allowed methods; empty for all.
    pub methods: Vec<ArcStr>,
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Callers that may use the route.
    pub access: Access,
    /// Whether a request may run more than once.
    pub execution: Execution,
    /// Longest time for a request.
    pub deadline: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Whether a request may be stored and delivered later.
    pub deferrable: bool,
    orgs: Vec<OrgName>,
    team_prefix: ArcStr,
}

impl CompiledRoute {
    pub(crate) fn new(name: &str, team: &str, created: Revision, doc: &Route) -> Self {
        Self {
            name: name.into(),
            created,
            prefix: doc.path.trim_end_matches('/').into(),
            methods: doc.methods.iter().map(Into::into).collect(),
            service: qualify(team, &doc.service).into(),
            access: doc.access,
            execution: doc.execution,
            deadline: Duration::from_millis(doc.deadline_ms),
            max_body_bytes: doc.max_body_bytes,
            deferrable: doc.deferrable,
            orgs: doc.organisations.iter().map(|org| qualify(team, org).into()).collect(),
            team_prefix: format!("{team}/").into(),
        }
    }

    /// Whether the route serves `method`.
    pub fn allows_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    /// Whether `org` may use the route.
    pub fn allows_org(&self, org: &OrgName) -> bool {
        if self.orgs.is_empty() {
            org.as_str().starts_with(self.team_prefix.as_str())
        } else {
            self.orgs.contains(org)
        }
    }
}
