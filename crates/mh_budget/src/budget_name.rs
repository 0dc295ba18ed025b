use std::fmt;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

/// Name of a budget, prefixed with its kind: `org/TEAM/NAME`, `region/NAME`, `link/FROM/TO` or `slots/SERVER`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BudgetName(ArcStr);

impl BudgetName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for BudgetName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for BudgetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
