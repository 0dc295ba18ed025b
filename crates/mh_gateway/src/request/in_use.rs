use std::time::Duration;

use hyper::HeaderMap;
use mh_edge::Connection;

use super::held_answer::keep_for;

/// A connection on which the answer to a request has begun.
pub(super) struct InUse {
    pub(super) connection: Connection,
    /// Whether another request may use it after the answer.
    pub(super) may_keep: bool,
}

impl InUse {
    /// How long the connection may be used again; `None` when it must be closed.
    pub(super) fn keep_for(&self, headers: &HeaderMap) -> Option<Duration> {
        keep_for(headers).filter(|_| self.may_keep)
    }
}
