use std::fmt;

use serde::{Deserialize, Serialize};

/// Kind of fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// It fails more requests than the old version.
    Errors,
    /// It is slower than the old version.
    Slow,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Errors => "errors",
            Self::Slow => "slow responses",
        })
    }
}
