use std::time::Duration;

use tokio::time::Instant;

/// Microseconds since the creation of the [`Clock`], which fit in an atomic; zero stands for "never".
pub(crate) type Micros = u64;

/// Converts instants to [`Micros`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    epoch: Instant,
}

impl Clock {
    pub(crate) fn new(epoch: Instant) -> Self {
        Self { epoch }
    }

    /// Time of `now`, at least 1 so that it differs from "never".
    pub(crate) fn micros(self, now: Instant) -> Micros {
        1 + micros(now.saturating_duration_since(self.epoch))
    }
}

/// Length of `d` in whole microseconds.
pub(crate) fn micros(d: Duration) -> Micros {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX / 2)
}
