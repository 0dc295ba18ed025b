use std::time::Duration;

/// Timing and error bounds of shifts, the same on every VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Largest difference between a VM's wall clock and true time.
    pub max_clock_skew: Duration,
    /// Time reserved before the deadline for table writes that take effect late and for paused VMs.
    ///
    /// `Done` is not proposed within it; from its middle on, every VM proposes `TakenBack`.
    pub write_margin: Duration,
    /// Time without a reply after which a write is read back.
    pub write_timeout: Duration,
    /// Time for which a VM keeps using the new version without contact with a majority of the failure domains.
    pub contact_lease: Duration,
    /// Shortest time at one step.
    pub min_dwell: Duration,
    /// Delay between VMs of consecutive rank before they attempt the same write.
    pub delay_per_rank: Duration,
    /// Longest interval over which samples of both versions count as simultaneous.
    pub max_interval: Duration,
    /// Probability that a version no worse than the old one is taken back in one shift.
    pub false_alarm_probability: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_clock_skew: Duration::from_millis(500),
            write_margin: Duration::from_secs(5),
            write_timeout: Duration::from_millis(500),
            contact_lease: Duration::from_millis(1_500),
            min_dwell: Duration::from_secs(3),
            delay_per_rank: Duration::from_millis(50),
            max_interval: Duration::from_secs(1),
            false_alarm_probability: 1e-3,
        }
    }
}
