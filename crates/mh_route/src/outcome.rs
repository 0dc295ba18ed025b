use std::time::Duration;

/// Outcome of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response arrived.
    Answered {
        /// HTTP status; 500 and above raises the server's error rate.
        status: u16,
        /// Time from sending the request to the response.
        latency: Duration,
    },
    /// The server refused the request because it is overloaded.
    Shed,
    /// The server said that it is shutting down.
    Closing,
    /// No connection could be made, or it broke before the response was whole.
    Failed,
    /// The deadline passed without a response.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}
