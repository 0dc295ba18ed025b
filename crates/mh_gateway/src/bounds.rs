use std::time::Duration;

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

impl Default for Bounds {
    /// Default bounds; a settings file may override all except `entry_return`.
    fn default() -> Self {
        Self {
            shutdown_grace: Duration::from_secs(6),
            lookup_lifetime: Duration::from_secs(5),
            vm_loss: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: 60.0,
            retry_window: Duration::from_secs(10),
            exposure_share: 0.1,
            settings_in_force: Duration::from_secs(2),
            entry_return: Duration::from_secs(2),
        }
    }
}
