use std::time::Duration;

use mh_types::Code;

/// Reason why no server was chosen; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No server of the service may be used.
    Unavailable,
    /// Every server would answer too late, is cold and at its rate limit, or has used up the limit that it stated.
    NoCapacity {
        /// Time until capacity is expected, estimated from the queues of the servers.
        retry_after: Duration,
    },
}

impl PlacementError {
    /// Result code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Unavailable => Code::NoServer,
            Self::NoCapacity { .. } => Code::NoCapacity,
        }
    }

    /// Time after which to retry, if known.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Unavailable => None,
            Self::NoCapacity { retry_after } => Some(retry_after),
        }
    }
}
