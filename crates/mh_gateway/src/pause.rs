use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Suspension after which what the process believes may be out of date.
const PAUSE: Duration = Duration::from_millis(800);

/// Tells how long the machine was suspended, which the runtime's clock does not count.
#[derive(Debug)]
pub struct BootClock {
    boot: Duration,
    steady: Instant,
}

impl BootClock {
    /// Starts to compare the two clocks.
    pub fn start() -> Self {
        Self {
            boot: boot_time(),
            steady: Instant::now(),
        }
    }

    /// Time that the machine was suspended since the last call that returned a time; `None` for less than 0.8 s.
    pub fn suspended(&mut self) -> Option<Duration> {
        let now = Self::start();
        let boot = now.boot.saturating_sub(self.boot);
        let gap = boot.saturating_sub(now.steady.saturating_duration_since(self.steady));
        if gap < PAUSE {
            return None;
        }
        *self = now;
        Some(gap)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
