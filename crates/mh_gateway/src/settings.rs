use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mh_types::{DomainName, RegionName, VmName};
use serde::Deserialize;

use crate::{Bounds, time_text};

/// Settings of one gateway VM's process, read from YAML.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Threads that serve requests; 1 for a single-threaded runtime.
    #[serde(default = "one")]
    pub threads: usize,
    /// Descriptors that the process may have open.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Memory that the process may use, in megabytes; bodies may hold a part of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Whether the whole fleet starts for the first time, so that no VM is listed yet.
    #[serde(default)]
    pub first_start: bool,
    /// Regions of the failure domains.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Promises over the whole fleet; those that are missing have the product's own values.
    #[serde(default)]
    pub promises: PromiseSettings,
    /// Level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log")]
    pub log: log::LevelFilter,
}

/// Addresses of a gateway VM's ports.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// Port for callers' requests.
    pub callers: SocketAddr,
    /// Port for readiness checks and metrics.
    pub health: SocketAddr,
    /// Port for look-ups.
    pub lookups: SocketAddr,
    /// UDP port for the other VMs.
    pub peers: SocketAddr,
}

/// Promises over the whole fleet. Times are texts such as `1500ms` or `2.5s`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PromiseSettings {
    /// See [`Bounds::shutdown_grace`].
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub shutdown_grace: Option<Duration>,
    /// See [`Bounds::lookup_lifetime`].
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub lookup_lifetime: Option<Duration>,
    /// Time without a disturbance after which promises hold again.
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub settle: Option<Duration>,
    /// See [`Bounds::retry_ratio`].
    pub retry_ratio: Option<f64>,
    /// See [`Bounds::retry_slack`].
    pub retry_slack: Option<f64>,
    /// See [`Bounds::retry_window`].
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub retry_window: Option<Duration>,
    /// See [`Bounds::settings_in_force`].
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub settings_in_force: Option<Duration>,
    /// See [`Bounds::exposure_share`].
    pub exposure_share: Option<f64>,
}

/// Time beyond the settling time by which a stopped VM is left out of look-ups.
const VM_LOSS_MARGIN: Duration = Duration::from_secs(3);

impl PromiseSettings {
    /// The promises, with the product's own values where none is set.
    pub fn bounds(&self) -> Bounds {
        let own = Bounds::default();
        Bounds {
            shutdown_grace: self.shutdown_grace.unwrap_or(own.shutdown_grace),
            lookup_lifetime: self.lookup_lifetime.unwrap_or(own.lookup_lifetime),
            vm_loss: self.settle.map_or(own.vm_loss, |settle| settle + VM_LOSS_MARGIN),
            retry_ratio: self.retry_ratio.unwrap_or(own.retry_ratio),
            retry_slack: self.retry_slack.unwrap_or(own.retry_slack),
            retry_window: self.retry_window.unwrap_or(own.retry_window),
            exposure_share: self.exposure_share.unwrap_or(own.exposure_share),
            settings_in_force: self.settings_in_force.unwrap_or(own.settings_in_force),
            entry_return: own.entry_return,
        }
    }
}

fn one() -> usize {
    1
}

/// The usual limit of a process where an operator sets none.
fn default_descriptors() -> usize {
    1024
}

/// The smallest VM that the product is meant for.
fn default_memory_mb() -> u32 {
    128
}

fn default_log() -> log::LevelFilter {
    log::LevelFilter::Info
}
