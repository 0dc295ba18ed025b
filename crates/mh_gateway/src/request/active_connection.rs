use std::time::Duration;

use hyper::HeaderMap;
use mh_edge::Connection;

use super::buffered_answer::reuse_for;

/// Connection on which the answer to a request has begun.
pub(super) struct ActiveConnection {
    pub(super) connection: Connection,
    /// Whether another request may use the connection after this answer.
    pub(super) may_reuse: bool,
}

impl ActiveConnection {
    /// Returns how long the connection may be reused; `None` if it must be closed.
    pub(super) fn reuse_for(&self, headers: &HeaderMap) -> Option<Duration> {
        reuse_for(headers).filter(|_| self.may_reuse)
    }
}
