use std::time::Duration;

/// Report lifetime as a fraction of the time in which a change must be in force everywhere. The other half is left for
/// the VM that takes over.
const REPORT_LIFETIME_FRACTION: f64 = 0.5;

/// Maximum wait of a reader's store call as a fraction of the report lifetime, so that a slow response or a slightly
/// delayed report does not make other VMs read.
const READ_WAIT_FRACTION: f64 = 0.55;

/// Maximum wait for changes of the settings while no other VM relies on this one's reports, as a fraction of the time in
/// which a change must be in force. The rest is left for a repeated call.
const LONE_READ_WAIT_FRACTION: f64 = 0.5;

/// Maximum wait for changes of other data, as a multiple of the time in which a change must be in force. A server that
/// leaves keeps serving for seconds.
const SLOW_READ_WAIT_FACTOR: f64 = 1.5;

/// Timings of reader election and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTimings {
    /// Maximum age of a reader's last report at which other VMs still rely on the reader.
    pub report_lifetime: Duration,
    /// Maximum wait of one store call; a reader sends a report after each call.
    pub max_read_wait: Duration,
    /// Maximum wait of one store call for the settings while no other VM relies on this one's reports. It limits the
    /// time for which a call that the store never answers hides changes.
    pub lone_read_wait: Duration,
    /// Maximum wait of one store call for other data than the settings.
    pub slow_read_wait: Duration,
    /// Additional takeover delay of each VM over the previous one in the priority order.
    pub takeover_stagger: Duration,
    /// Delay before a missing second reader is replaced or a surplus reader stops.
    pub settle_delay: Duration,
    /// Delay before a reader whose calls failed, while another reader is active, tries again.
    pub retry_delay: Duration,
}

impl RelayTimings {
    /// Returns timings with which every VM knows a change within `in_force`, even if both readers fail at the moment of
    /// the change.
    pub fn for_deadline(in_force: Duration) -> Self {
        let report_lifetime = in_force.mul_f64(REPORT_LIFETIME_FRACTION);
        Self {
            report_lifetime,
            max_read_wait: report_lifetime.mul_f64(READ_WAIT_FRACTION),
            lone_read_wait: in_force.mul_f64(LONE_READ_WAIT_FRACTION),
            slow_read_wait: in_force.mul_f64(SLOW_READ_WAIT_FACTOR),
            // Longer than a store read and the delivery of its report.
            takeover_stagger: Duration::from_millis(100),
            settle_delay: Duration::from_secs(1),
            retry_delay: Duration::from_secs(2),
        }
    }
}
