use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Shortest suspension after which the VM's state counts as possibly stale.
const MIN_SUSPENSION: Duration = Duration::from_millis(800);

/// Detects suspensions of the machine by comparing the boot-time clock with the runtime's monotonic clock, which does
/// not count them.
#[derive(Debug)]
pub struct SuspendDetector {
    boot_time: Duration,
    monotonic_time: Instant,
}

impl SuspendDetector {
    /// Starts comparing the two clocks.
    pub fn start() -> Self {
        Self {
            boot_time: boot_time(),
            monotonic_time: Instant::now(),
        }
    }

    /// Returns the time for which the machine was suspended since the last call that returned a time; `None` if
    /// shorter than `MIN_SUSPENSION`.
    pub fn suspended(&mut self) -> Option<Duration> {
        let now = Self::start();
        let boot = now.boot_time.saturating_sub(self.boot_time);
        let gap = boot.saturating_sub(now.monotonic_time.saturating_duration_since(self.monotonic_time));
        if gap < MIN_SUSPENSION {
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
