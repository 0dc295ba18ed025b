use std::time::Duration;

use crate::objects::PlacementError;

/// Mean errors of a forecast by which it is practically never off: once in 20 times, if errors are distributed exponentially.
const RARE_ERRORS: u32 = 3;

/// The time that a caller has, and what is known of the work for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTime {
    /// Time within which this attempt must be answered: until the deadline, and no longer than the route's timeout.
    pub remaining: Duration,
    /// Time within which any attempt must be answered: the timeout of the route.
    pub timeout: Duration,
    /// Time until the caller's deadline.
    pub until_deadline: Duration,
    /// Expected work at a server that holds the object.
    pub work: Duration,
    /// Mean error of predicted response times.
    pub forecast_error: Duration,
}

impl CallerTime {
    /// Longest wait for a slot with which this attempt is answered in time, if the forecast is no more off than usual.
    pub(super) fn bearable_wait(&self) -> Duration {
        self.remaining.saturating_sub(self.work + self.forecast_error)
    }

    /// Longest time after which the caller may return and be answered in time.
    pub fn latest_return(&self) -> Duration {
        (self.until_deadline + self.tolerance()).saturating_sub(self.work)
    }

    /// Time after which there is room for the caller if it comes again, by the reason why its request was not placed; `None`
    /// if it could then no longer be answered in time.
    pub fn room_in(&self, error: PlacementError) -> Option<Duration> {
        match error {
            PlacementError::Unavailable => None,
            PlacementError::NoCapacity { retry_after } => {
                Some(retry_after).filter(|wait| *wait <= self.latest_return())
            }
            // While the caller waits, the work ahead gets shorter as fast as the time until its deadline. Only the timeout
            // of the route begins anew.
            PlacementError::TooLate { by } => {
                let finish = self.remaining + by;
                let fits =
                    finish <= self.until_deadline + self.tolerance() && self.work <= self.timeout + self.tolerance();
                fits.then_some(by)
            }
        }
    }

    /// Time by which a caller must be too late to be known to be.
    fn tolerance(&self) -> Duration {
        self.forecast_error * RARE_ERRORS
    }
}
