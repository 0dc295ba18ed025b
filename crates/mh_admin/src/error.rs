use std::fmt;

use mh_config::Problems;
use mh_types::Code;
use serde::Serialize;

/// Error of a request on the admin port.
#[derive(Clone, Debug)]
pub struct AdminError {
    /// Result code.
    pub code: Code,
    /// Human-readable description.
    pub detail: String,
    /// Validation errors of the document, if any.
    pub problems: Option<Problems>,
}

/// Problem document as defined by RFC 9457.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    code: u16,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    problems: Option<&'a Problems>,
}

impl AdminError {
    /// Creates an error with a detail and no validation errors.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            problems: None,
        }
    }

    /// Encodes the error as a problem document as defined by RFC 9457.
    pub fn to_json(&self) -> Vec<u8> {
        let document = ProblemDocument {
            kind: format!("urn:mangohook:code:{}", self.code.number()),
            title: self.code.title(),
            status: self.code.status(),
            code: self.code.number(),
            detail: &self.detail,
            problems: self.problems.as_ref(),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }
}

impl From<Problems> for AdminError {
    fn from(problems: Problems) -> Self {
        Self {
            code: problems.code(),
            detail: problems.to_string(),
            problems: Some(problems),
        }
    }
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for AdminError {}
