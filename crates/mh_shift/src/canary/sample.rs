/// How one request to a back-end version ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanarySample {
    /// Whether the new version served it.
    pub is_new: bool,
    /// Whether it failed, timed out or was lost.
    pub is_bad: bool,
    /// Time until the answer as a multiple of the forecast; `None` when there was no answer.
    pub time_ratio: Option<f64>,
}
