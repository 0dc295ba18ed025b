use serde::{Deserialize, Serialize};

/// Kind of a route's requests, which decides whether they may be repeated.
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
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        self == Self::Idempotent
    }
}
