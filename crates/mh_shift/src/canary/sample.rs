/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryFault {
    /// The server answered with an error, or lost or spoiled its answer.
    Error,
    /// There was no answer in time.
    TimedOut,
}

/// How one request to a back-end version ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanarySample {
    /// Whether the new version served it.
    pub is_new: bool,
    /// How it failed, if it did.
    pub fault: Option<CanaryFault>,
    /// Time until the answer as a multiple of the forecast; `None` when there was no answer.
    pub time_ratio: Option<f64>,
}
