use std::time::Duration;

/// Fraction of the longest lifetime that look-up answers are given. Callers may keep an answer for longer than its lifetime,
/// and a short lifetime lets a VM leave within its grace period.
const LOOKUP_LIFETIME_FRACTION: f64 = 0.4;

/// Time in which the look-ups of other VMs stop returning a VM that leaves: some rounds of messages between VMs.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time before the end of the grace period in which no request runs any more, to close connections, hand over what the VM
/// alone knows, and exit.
const EXIT_TIME: Duration = Duration::from_millis(400);

/// Default of [`Bounds::retry_slack`] for each second of the window, so that a service with few requests is not without
/// retries.
const RETRIES_PER_S: f64 = 1.0;

/// Bounds on times and shares that a deployment guarantees over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop signal until the process is killed.
    pub shutdown_grace: Duration,
    /// Longest time for which a caller may reuse the answer of a look-up.
    pub lookup_lifetime: Duration,
    /// Time after which look-ups no longer return a VM that has stopped.
    pub vm_loss: Duration,
    /// Retries as a fraction of a service's requests.
    pub retry_ratio: f64,
    /// Retries allowed per window on top of that fraction, over all VMs.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Fraction of a service's requests that an unproven version may get, over all VMs.
    pub exposure_share: f64,
    /// Time within which a change of the settings takes effect on every VM.
    pub settings_in_force: Duration,
    /// Time within which a live server's entry is listed again after an outage of the source.
    pub entry_return: Duration,
}

impl Bounds {
    /// Lifetime that look-up answers are given.
    pub fn stated_lookup_lifetime(&self) -> Duration {
        self.lookup_lifetime.mul_f64(LOOKUP_LIFETIME_FRACTION)
    }

    /// Time after the stop signal for which new requests are accepted: until the last look-up answer that names this VM has
    /// expired, as its callers know no other VM before.
    pub fn serving_after_stop(&self) -> Duration {
        (self.stated_lookup_lifetime() + LEAVE_NOTICE_TIME).min(self.exit_after_stop())
    }

    /// Time after the stop signal until the process exits, even if requests are still running. Requests that could last
    /// longer are left to other VMs from the start.
    pub fn exit_after_stop(&self) -> Duration {
        self.shutdown_grace.saturating_sub(EXIT_TIME)
    }
}

impl Default for Bounds {
    /// Default bounds; a settings file may override all except `entry_return`.
    fn default() -> Self {
        let retry_window = Duration::from_secs(10);
        Self {
            shutdown_grace: Duration::from_secs(6),
            lookup_lifetime: Duration::from_secs(5),
            vm_loss: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: RETRIES_PER_S * retry_window.as_secs_f64(),
            retry_window,
            exposure_share: 0.1,
            settings_in_force: Duration::from_secs(2),
            entry_return: Duration::from_secs(2),
        }
    }
}
