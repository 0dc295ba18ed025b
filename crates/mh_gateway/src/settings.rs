use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mh_edge::PipelineBounds;
use mh_types::{DomainName, RegionName, VmName};
use mh_usage::Params;
use serde::Deserialize;

use crate::{Bounds, PlacementSettings, time_text};

/// Settings of the process of a gateway VM, read from YAML.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Worker threads for requests; 1 selects a single-threaded runtime.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Maximum number of open file descriptors of the process.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Memory limit of the process in megabytes; buffered bodies use a fraction of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Whether the whole fleet starts for the first time, so that no VM is listed yet.
    #[serde(default)]
    pub first_start: bool,
    /// Placement of requests on servers.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Which VMs look-ups return.
    #[serde(default)]
    pub lookups: LookupMode,
    /// Processor time that the process may use, in cores; unknown by default.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Bandwidth of the VM's link in Mbit/s; unknown by default.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Regions of the failure domains.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Bounds over the whole fleet; missing ones have the default values.
    #[serde(default)]
    pub promises: BoundSettings,
    /// Bounds on the requests that callers pipeline.
    #[serde(default)]
    pub pipelining: PipelineBounds,
    /// Usage reports; none are made without this section.
    #[serde(default)]
    pub usage: Option<UsageSettings>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log: log::LevelFilter,
}

/// Distribution of callers' objects over failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementMode {
    /// Evenly over the domains of the region, by the number of VMs of each region.
    #[default]
    Region,
    /// Own failure domain first, by the demand that VMs measure.
    MeasuredDemand,
}

/// VMs that look-ups return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LookupMode {
    /// All VMs of the caller's region.
    #[default]
    Region,
    /// VMs of the caller's failure domain first, in proportion to size and spare capacity.
    Domain,
}

/// Listen addresses of a gateway VM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// Port for callers' requests.
    pub callers: SocketAddr,
    /// Port for readiness checks, metrics and the state dump.
    pub health: SocketAddr,
    /// Port for look-ups.
    pub lookups: SocketAddr,
    /// UDP and TCP port for the other VMs.
    pub peers: SocketAddr,
}

/// Bounds over the whole fleet. Durations are strings such as `1500ms` or `2.5s`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// See [`Bounds::shutdown_grace`].
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub shutdown_grace: Option<Duration>,
    /// See [`Bounds::lookup_lifetime`].
    #[serde(deserialize_with = "time_text::deserialize_option")]
    pub lookup_lifetime: Option<Duration>,
    /// Time without a disturbance after which the bounds hold again.
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

/// Duty of reporting how many requests of each organisation ran.
const USAGE_REPORT: &str = "usage_report";

/// Settings of the usage reports. Durations are strings such as `1500ms` or `2.5s`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageSettings {
    /// Address of the API that takes the reports.
    pub address: SocketAddr,
    /// Duties that the platform asks for; without `usage_report` there are no reports.
    #[serde(default)]
    pub duties: Vec<String>,
    /// Calls that the API allows per second, from all VMs.
    #[serde(default)]
    pub calls_per_s: Option<f64>,
    /// Length of a window.
    #[serde(default, deserialize_with = "time_text::deserialize_option")]
    pub window: Option<Duration>,
    /// Time after the end of a window at which its report is due.
    #[serde(default, deserialize_with = "time_text::deserialize_option")]
    pub late: Option<Duration>,
    /// Time within which two VMs must not alternate in reporting.
    #[serde(default, deserialize_with = "time_text::deserialize_option")]
    pub lease: Option<Duration>,
    /// Gap in the process's run after which it checks whether it still has the duty.
    #[serde(default, deserialize_with = "time_text::deserialize_option")]
    pub thaw_slack: Option<Duration>,
}

impl UsageSettings {
    /// Returns the times of the reports, with the default values where none is set; `None` if no reports are made.
    pub fn params(&self) -> Option<Params> {
        let defaults = Params::default();
        let is_on = self.duties.iter().any(|duty| duty == USAGE_REPORT);
        is_on.then(|| Params {
            window: self
                .window
                .filter(|window| !window.is_zero())
                .unwrap_or(defaults.window),
            late: self.late.unwrap_or(defaults.late),
            lease: self.lease.unwrap_or(defaults.lease),
            thaw_slack: self.thaw_slack.unwrap_or(defaults.thaw_slack),
            calls_per_s: self.calls_per_s.unwrap_or(defaults.calls_per_s),
            call_timeout: defaults.call_timeout,
        })
    }
}

/// Time beyond the settling time within which look-ups drop a stopped VM.
const VM_LOSS_MARGIN: Duration = Duration::from_secs(3);

impl BoundSettings {
    /// Returns the bounds, with the default values where none is set.
    pub fn bounds(&self) -> Bounds {
        let defaults = Bounds::default();
        Bounds {
            shutdown_grace: self.shutdown_grace.unwrap_or(defaults.shutdown_grace),
            lookup_lifetime: self.lookup_lifetime.unwrap_or(defaults.lookup_lifetime),
            vm_loss: self.settle.map_or(defaults.vm_loss, |settle| settle + VM_LOSS_MARGIN),
            retry_ratio: self.retry_ratio.unwrap_or(defaults.retry_ratio),
            retry_slack: self.retry_slack.unwrap_or(defaults.retry_slack),
            retry_window: self.retry_window.unwrap_or(defaults.retry_window),
            exposure_share: self.exposure_share.unwrap_or(defaults.exposure_share),
            settings_in_force: self.settings_in_force.unwrap_or(defaults.settings_in_force),
            entry_return: defaults.entry_return,
        }
    }
}

fn default_threads() -> usize {
    1
}

/// The usual limit of a process when the operator sets none.
fn default_descriptors() -> usize {
    1024
}

/// The smallest supported VM.
fn default_memory_mb() -> u32 {
    128
}

fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}
