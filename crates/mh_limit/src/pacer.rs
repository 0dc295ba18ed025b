use std::time::Duration;

use tokio::time::Instant;

/// Time of unused rate that may be saved for later requests.
const SAVED_S: f64 = 0.25;

/// Requests that may be saved in any case, so that two that arrive together are both admitted.
const SAVED_REQUESTS: f64 = 2.0;

/// Token bucket of one server's limit, on the VM that admits requests for it.
#[derive(Debug)]
pub(crate) struct Pacer {
    tokens: f64,
    filled_at: Instant,
}

impl Pacer {
    /// Creates an empty bucket, since another VM may just have used the rate.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Takes one request from the bucket that fills with `rate` requests per second.
    ///
    /// # Errors
    ///
    /// The time until the next request is admitted.
    pub(crate) fn try_take(&mut self, now: Instant, rate: f64) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(SAVED_REQUESTS + rate * SAVED_S);
        self.filled_at = self.filled_at.max(now);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
