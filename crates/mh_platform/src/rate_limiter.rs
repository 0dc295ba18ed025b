use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Limits the rate of requests from this VM to one platform service.
///
/// A request that would have to wait longer than its limit is rejected immediately.
#[derive(Debug)]
pub struct RateLimiter {
    interval: Duration,
    burst: Duration,
    next_slot: Mutex<Option<Instant>>,
}

impl RateLimiter {
    /// Creates a limiter that allows `per_second` requests per second, and a burst of up to two seconds' worth of them
    /// after an idle period.
    pub fn new(per_second: u32) -> Self {
        let interval = Duration::from_secs(1) / per_second.max(1);
        Self {
            interval,
            burst: Duration::from_secs(2),
            next_slot: Mutex::new(None),
        }
    }

    /// Waits until the next request is allowed. Returns `false` without waiting if that takes longer than `max_wait`.
    pub async fn acquire(&self, max_wait: Duration) -> bool {
        let slot_start = {
            let mut next_slot = self.next_slot.lock().await;
            let now = Instant::now();
            let earliest = now.checked_sub(self.burst).unwrap_or(now);
            let slot = next_slot.unwrap_or(earliest).max(earliest);
            if slot > now + max_wait {
                return false;
            }
            *next_slot = Some(slot + self.interval);
            slot
        };
        tokio::time::sleep_until(slot_start).await;
        true
    }
}
