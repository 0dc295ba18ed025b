use std::time::Duration;

use mh_types::Code;

/// Reason why no server was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotPlaced {
    /// No server of the service may be used.
    Unavailable,
    /// Servers have room for the request after `retry_after`.
    Full { retry_after: Duration },
    /// No server can answer before the caller's deadline, now or if the caller returns.
    TooLate,
}

impl NotPlaced {
    /// Creates the reason from the time after which there is room; `None` if that is too late for the caller.
    pub(super) fn until(room_in: Option<Duration>) -> Self {
        room_in.map_or(Self::TooLate, |retry_after| Self::Full { retry_after })
    }

    /// Result code for the caller.
    pub(super) fn code(self) -> Code {
        match self {
            Self::Unavailable => Code::NoServer,
            Self::Full { .. } => Code::NoCapacity,
            Self::TooLate => Code::NoTimeLeft,
        }
    }

    /// Time after which the caller is to return.
    pub(super) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Full { retry_after } => Some(retry_after),
            Self::Unavailable | Self::TooLate => None,
        }
    }
}
