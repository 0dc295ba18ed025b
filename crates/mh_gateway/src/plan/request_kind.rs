use serde::{Deserialize, Serialize};

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// They may run more than once.
    Idempotent,
    /// They may run at most once.
    NonIdempotent,
    /// They carry large bodies and may run at most once.
    Upload,
}

impl RequestKind {
    /// Whether a request may be sent again when it may have run.
    pub fn may_repeat(self) -> bool {
        self == Self::Idempotent
    }
}
