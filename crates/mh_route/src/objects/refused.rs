use std::time::Duration;

use mh_types::Code;

/// Why no server was chosen; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No server of the service may be used.
    Unavailable,
    /// Every server would answer too late.
    Full {
        /// When there will be room, as far as the servers' queues tell.
        room_in: Duration,
    },
}

impl Refused {
    /// The result code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Unavailable => Code::NoServer,
            Self::Full { .. } => Code::NoCapacity,
        }
    }

    /// When to come back, if that is known.
    pub fn room_in(self) -> Option<Duration> {
        match self {
            Self::Unavailable => None,
            Self::Full { room_in } => Some(room_in),
        }
    }
}
