use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Fault;

/// Reason for taking a shift back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TakeBackReason {
    /// The new version has a fault.
    Fault(Fault),
    /// An operator asked for it.
    Operator,
    /// The shift was not finished before the deadline.
    Deadline,
}

impl fmt::Display for TakeBackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fault(fault) => fault.fmt(f),
            Self::Operator => f.write_str("an operator took it back"),
            Self::Deadline => f.write_str("it was not done in time"),
        }
    }
}
