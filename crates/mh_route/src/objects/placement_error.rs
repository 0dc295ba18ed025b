use std::time::Duration;

/// Reason why no server was chosen; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No server of the service may be used.
    Unavailable,
    /// Every server is cold and at its rate limit, or has used up the limit that it stated, or would answer too late.
    NoCapacity {
        /// Time until a server takes another request.
        retry_after: Duration,
    },
    /// Every server would answer after the deadline, because of the work ahead of the request or its own.
    ///
    /// The work ahead gets shorter as fast as the time that the caller has left, so a later attempt is as late.
    TooLate {
        /// Time by which the earliest response would miss the deadline.
        by: Duration,
    },
}
