use std::time::Duration;

/// Promises over the whole fleet that a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the signal to stop until the process is ended by force.
    pub shutdown_grace: Duration,
    /// Longest time that a caller may use a look-up's answer.
    pub lookup_lifetime: Duration,
    /// Time after which a VM that stopped must not be named in look-ups.
    pub vm_loss: Duration,
    /// Repeats of requests as a part of a service's requests.
    pub retry_ratio: f64,
    /// Repeats allowed in each window beyond that part, over all VMs.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Part of a service's requests that an unproven version may get, over all VMs.
    pub exposure_share: f64,
    /// Time within which a change of the settings must be in force on every VM.
    pub settings_in_force: Duration,
    /// Time within which a server's entry is back after an outage of the source, if the server lives.
    pub entry_return: Duration,
}

impl Default for Bounds {
    /// The brief's figures where it has them; deployments replace all of them.
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
