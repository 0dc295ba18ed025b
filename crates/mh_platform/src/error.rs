use std::fmt;

use mh_types::Code;

/// Error of a request to a platform service, as its error code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformError(pub Code);

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for PlatformError {}
