use mh_types::Code;
use serde::{Deserialize, Serialize};

use super::Checker;

/// A planned drain of one backend server, or of one failure domain's servers of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name of the service within the same team.
    pub service: String,
    /// Backend server to drain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// Failure domain to drain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<String>,
}

impl Drain {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_name("service", &self.service);
        if self.server.is_some() == self.domain.is_some() {
            checker.report(
                Code::FieldMissing,
                "server",
                "name either a server or a domain".to_owned(),
            );
        }
    }
}
