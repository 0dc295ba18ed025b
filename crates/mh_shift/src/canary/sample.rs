/// Kind of failure of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryFault {
    /// The backend server answered with an error, or its answer was lost or corrupted.
    Error,
    /// No answer arrived in time.
    TimedOut,
}

/// Result of one request to a backend version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanarySample {
    /// Whether the new version served it.
    pub is_new: bool,
    /// Failure, if any.
    pub fault: Option<CanaryFault>,
    /// Response time as a multiple of the forecast; `None` when there was no answer.
    pub time_ratio: Option<f64>,
}
