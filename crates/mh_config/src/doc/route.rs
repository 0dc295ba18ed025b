use mh_types::Code;
use serde::{Deserialize, Serialize};

use super::Checker;

/// Access rule of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Callers with a key of an allowed organisation.
    #[default]
    Keyed,
    /// Every caller; no key is read.
    Open,
}

/// Execution guarantee of a route: whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// Running a request again does no harm, so it may be retried.
    Idempotent,
    /// A request must never run twice; it needs an `Idempotency-Key` header.
    AtMostOnce,
}

/// A route from callers to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the service within the same team.
    pub service: String,
    /// HTTP methods, upper case; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Path prefix; it matches whole segments.
    pub path: String,
    /// Callers that may use the route.
    #[serde(default)]
    pub access: Access,
    /// Allowed organisations, as `name` within the team or `team/name`; empty for every organisation of the team.
    #[serde(default)]
    pub organisations: Vec<String>,
    /// Whether a request may run more than once.
    pub execution: Execution,
    /// Longest time for a request, in milliseconds; a caller may ask for less.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Whether a request may be stored and delivered later.
    #[serde(default)]
    pub deferrable: bool,
}

fn default_deadline_ms() -> u64 {
    10_000
}

fn default_max_body_bytes() -> u64 {
    1024 * 1024
}

impl Route {
    pub(super) fn check(&self, checker: &mut Checker<'_>) {
        checker.check_name("service", &self.service);
        checker.check_range("deadline_ms", self.deadline_ms, 1, 600_000);
        checker.check_range("max_body_bytes", self.max_body_bytes, 0, 64 * 1024 * 1024);
        checker.check_unique("methods", self.methods.iter().map(String::as_str));
        checker.check_unique("organisations", self.organisations.iter().map(String::as_str));
        if !self.path.starts_with('/') || self.path.contains("//") || self.path.contains(['?', '#', '%']) {
            let detail = format!("{:?} is not an absolute path without '//', '?', '#' or '%'", self.path);
            checker.report(Code::FieldOutOfRange, "path", detail);
        }
        if self.path.starts_with("/.well-known/mangohook") {
            checker.report(
                Code::FieldOutOfRange,
                "path",
                "/.well-known/mangohook is reserved".to_owned(),
            );
        }
        for method in &self.methods {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                checker.report(
                    Code::FieldOutOfRange,
                    "methods",
                    format!("{method:?} is not an upper-case method"),
                );
            }
        }
        if self.deferrable && self.execution == Execution::AtMostOnce {
            let detail = "a deferrable request is delivered until a server takes it, so it must be idempotent";
            checker.report(Code::FieldOutOfRange, "deferrable", detail.to_owned());
        }
    }
}
