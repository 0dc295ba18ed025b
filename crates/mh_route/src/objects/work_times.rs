use std::time::Duration;

use crate::mean::Mean;

/// Measured work times of one route, at servers that hold the object and at servers that do not.
///
/// Before the first responses they are unknown, and no request is predicted to wait or to be late.
#[derive(Debug, Default)]
pub struct WorkTimes {
    with_object: Mean,
    without_object: Mean,
    /// Difference between the predicted and the measured time until a response, whichever was longer.
    forecast_error: Mean,
}

impl WorkTimes {
    /// Creates work times that are known beforehand, with and without the object.
    pub fn new(with_object: Duration, without_object: Duration) -> Self {
        Self {
            with_object: Mean::known(with_object),
            without_object: Mean::known(without_object),
            forecast_error: Mean::default(),
        }
    }

    /// Expected work at a server that holds the object.
    pub fn with_object(&self) -> Duration {
        Duration::from_micros(self.expected_us(true))
    }

    /// Mean difference between predicted and measured time until a response.
    pub fn forecast_error(&self) -> Duration {
        Duration::from_micros(self.forecast_error.us())
    }

    pub(crate) fn observe_forecast(&self, forecast_us: u64, measured_us: u64) {
        self.forecast_error.observe(measured_us.abs_diff(forecast_us));
    }

    pub(crate) fn expected_us(&self, holds_object: bool) -> u64 {
        self.expected(holds_object).us()
    }

    /// Expected work at a server that holds the object, as far as enough responses show it; else 0. A request is refused for
    /// its work only by this, since the refusals of a wrong guess would keep it from being corrected.
    pub(crate) fn proven_us(&self) -> u64 {
        let mean = self.expected(true);
        if mean.is_proven() { mean.us() } else { 0 }
    }

    pub(crate) fn observe(&self, holds_object: bool, sample_us: u64) {
        let mean = if holds_object {
            &self.with_object
        } else {
            &self.without_object
        };
        mean.observe(sample_us);
    }

    /// Returns the mean that applies: without samples the other one, and never a shorter one without the object.
    fn expected(&self, holds_object: bool) -> &Mean {
        let is_without =
            self.with_object.us() == 0 || (!holds_object && self.without_object.us() > self.with_object.us());
        if is_without {
            &self.without_object
        } else {
            &self.with_object
        }
    }
}
