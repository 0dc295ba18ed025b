use std::time::Duration;

/// Windows of which a VM keeps counts, beyond the time until a report is due, as a multiple of that time. An outage of
/// the store or of the platform's API often lasts for tens of seconds.
const MAX_AGE_FACTOR: u32 = 6;

/// Times of the usage reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Params {
    /// Length of a window; the first one begins at the start of 1970.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub late: Duration,
    /// Time within which two holders must not alternate.
    pub lease: Duration,
    /// Time that a call of a holder is expected to be on its way. Later ones are refused by their token.
    pub call_timeout: Duration,
    /// Gap between two ticks after which the process counts as paused.
    pub thaw_slack: Duration,
    /// Calls of the platform that are allowed per second, over all VMs.
    pub calls_per_s: f64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            lease: Duration::from_secs(3),
            call_timeout: Duration::from_secs(1),
            thaw_slack: Duration::from_millis(300),
            calls_per_s: 2.0,
        }
    }
}

impl Params {
    /// Returns the window at the time `wall` since the start of 1970.
    pub fn window_at(&self, wall: Duration) -> u64 {
        (wall.as_nanos() / self.window.as_nanos().max(1)) as u64
    }

    /// Returns when `window` ends.
    pub fn end_of(&self, window: u64) -> Duration {
        let nanos = self.window.as_nanos().saturating_mul(u128::from(window) + 1);
        Duration::from_nanos_u128(nanos.min(u128::from(u64::MAX)))
    }

    /// Returns when the counts of `window` are recorded even if some VMs have not sent theirs. The other half of the
    /// time is for the write and for repeated calls.
    pub fn record_by(&self, window: u64) -> Duration {
        self.end_of(window) + self.late / 2
    }

    /// Returns the oldest window that is still of use at `wall`.
    pub fn oldest_window(&self, wall: Duration) -> u64 {
        self.window_at(wall.saturating_sub(self.late * MAX_AGE_FACTOR))
    }

    /// Returns for how long a holder must have been dead before another VM claims the duty: the lease, and the time that
    /// a call of the holder may take.
    pub fn takeover_delay(&self) -> Duration {
        self.lease + self.call_timeout
    }

    /// Returns the time between two calls: half of the allowed rate, as calls of an earlier holder may still arrive.
    pub fn call_interval(&self) -> Duration {
        Duration::from_secs_f64(2.0 / self.calls_per_s.max(0.1))
    }
}
