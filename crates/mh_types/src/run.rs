use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// No part of the request reached a backend server; sending it again cannot run it twice.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Run {
    /// The text used in HTTP problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
