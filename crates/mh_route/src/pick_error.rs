use std::fmt;

use mh_types::Code;

/// Reason why no server was picked; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PickError {
    /// No server of the service (and version) is usable.
    Unavailable,
    /// Every usable server is at its limit or its budget is used up.
    NoCapacity,
}

impl PickError {
    /// Result code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Unavailable => Code::NoServer,
            Self::NoCapacity => Code::NoCapacity,
        }
    }
}

impl fmt::Display for PickError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code().fmt(f)
    }
}

impl std::error::Error for PickError {}
