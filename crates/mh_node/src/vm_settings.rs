use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mh_config::{Problem, Problems};
use mh_edge::EdgeCfg;
use mh_types::{Code, DomainName, RegionName, VmName};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::LimitSettings;

/// Settings of one VM's process, read from YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Addresses to listen on, which callers and other VMs also use to connect.
    pub listen: Listen,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Settings of the process's shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Time for which callers may use a lookup answer, in seconds.
    #[serde(default = "default_lookup_lifetime_s")]
    pub lookup_lifetime_s: Spanned<u64>,
    /// Treatment of keyed requests while the settings cannot be confirmed.
    #[serde(default)]
    pub freshness: FreshnessPolicy,
    /// Maximum age of the settings' last confirmation for keyed requests to be served, in milliseconds.
    #[serde(default = "default_freshness_bound_ms")]
    pub freshness_bound_ms: Spanned<u64>,
    /// Number of threads that serve requests; 0 for one per core.
    #[serde(default = "default_threads")]
    pub threads: Spanned<usize>,
    /// Level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log: log::LevelFilter,
    /// Limits of the caller port and of backend connections.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Treatment of keyed requests while the settings cannot be confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FreshnessPolicy {
    /// Refuses them and reports that they were not run, so that a withdrawn key stops working within the freshness
    /// bound.
    #[default]
    Refuse,
    /// Serves them with the settings that the VM holds, so that a withdrawn key may work until the settings can be
    /// confirmed again, for example after a network partition.
    Serve,
}

/// Addresses of a VM's ports.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Port for callers.
    pub caller: SocketAddr,
    /// Port for the other VMs.
    pub peer: SocketAddr,
    /// Port for operators.
    pub admin: SocketAddr,
}

/// Addresses and limits of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the service that lists the VMs.
    pub vms: SocketAddr,
    /// Timeout for an answer, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: Spanned<u64>,
    /// Maximum rate of requests that this VM sends to each service, in requests per second.
    #[serde(default = "default_requests_per_second")]
    pub requests_per_second: Spanned<u32>,
}

/// Settings of the process's shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Maximum time for running requests to finish once lookup answers that name this VM have expired, in seconds.
    #[serde(default = "default_shutdown_deadline_s")]
    pub deadline_s: Spanned<u64>,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            deadline_s: default_shutdown_deadline_s(),
        }
    }
}

fn default_lookup_lifetime_s() -> Spanned<u64> {
    spanned(5)
}

fn default_freshness_bound_ms() -> Spanned<u64> {
    spanned(2000)
}

fn default_platform_timeout_ms() -> Spanned<u64> {
    spanned(1000)
}

fn default_requests_per_second() -> Spanned<u32> {
    spanned(50)
}

fn default_shutdown_deadline_s() -> Spanned<u64> {
    spanned(30)
}

fn default_threads() -> Spanned<usize> {
    spanned(0)
}

/// Positions in the file of the fields that are checked together after parsing.
#[derive(Deserialize)]
struct FieldPositions {
    vm: Spanned<String>,
    domain: Spanned<String>,
    region: Spanned<String>,
    listen: ListenPositions,
}

#[derive(Deserialize)]
struct ListenPositions {
    caller: Spanned<SocketAddr>,
    peer: Spanned<SocketAddr>,
    admin: Spanned<SocketAddr>,
}

fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

pub(crate) fn spanned<T>(value: T) -> Spanned<T> {
    Spanned::new(value, serde_saphyr::Location::UNKNOWN, serde_saphyr::Location::UNKNOWN)
}

impl VmSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsUnreadable`], or the errors of [`VmSettings::parse`].
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let place = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| Problem::new(Code::SettingsUnreadable, &place, e.to_string()))?;
        Self::parse(&place, &text)
    }

    /// Parses and checks settings; errors refer to them as `place`.
    ///
    /// # Errors
    ///
    /// [`Code::SyntaxInvalid`], [`Code::FieldUnknown`], [`Code::FieldMissing`], [`Code::FieldOutOfRange`] or
    /// [`Code::NameDuplicate`], each with file and line.
    pub fn parse(place: &str, text: &str) -> Result<Self, Problems> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|e| syntax_problem(place, &e))?;
        let positions: FieldPositions = serde_saphyr::from_str(text).map_err(|e| syntax_problem(place, &e))?;
        settings.check(place, &positions).map(|()| settings)
    }

    fn check(&self, place: &str, positions: &FieldPositions) -> Result<(), Problems> {
        let mut problems = Vec::new();
        check_range(
            &mut problems,
            place,
            "lookup_lifetime_s",
            &self.lookup_lifetime_s,
            1,
            300,
        );
        check_range(
            &mut problems,
            place,
            "freshness_bound_ms",
            &self.freshness_bound_ms,
            200,
            60_000,
        );
        check_range(
            &mut problems,
            place,
            "platform.timeout_ms",
            &self.platform.timeout_ms,
            10,
            30_000,
        );
        check_range(
            &mut problems,
            place,
            "platform.requests_per_second",
            &self.platform.requests_per_second,
            1,
            1000,
        );
        check_range(&mut problems, place, "threads", &self.threads, 0, 1024);
        check_range(
            &mut problems,
            place,
            "shutdown.deadline_s",
            &self.shutdown.deadline_s,
            0,
            3600,
        );
        let listen = [
            ("caller", &positions.listen.caller),
            ("peer", &positions.listen.peer),
            ("admin", &positions.listen.admin),
        ];
        for (i, (name, addr)) in listen.iter().enumerate() {
            let at = format!("{place}:{}", addr.referenced.line());
            let is_same_addr = |(_, other): &(&str, &Spanned<SocketAddr>)| other.value == addr.value;
            if addr.value.port() != 0 && listen[..i].iter().any(is_same_addr) {
                let detail = format!("listen.{name}: {} is used for two ports", addr.value);
                problems.push(Problem::new(Code::NameDuplicate, &at, detail));
            }
            if addr.value.ip().is_unspecified() {
                let detail = format!(
                    "listen.{name}: the address is also given to callers and VMs, so it must be one that they can reach"
                );
                problems.push(Problem::new(Code::FieldOutOfRange, &at, detail));
            }
        }
        self.limits.check(place, &mut problems);
        for (field, name) in [
            ("vm", &positions.vm),
            ("domain", &positions.domain),
            ("region", &positions.region),
        ] {
            if let Err(e) = VmName::parse(&name.value) {
                let at = format!("{place}:{}", name.referenced.line());
                problems.push(Problem::new(Code::FieldOutOfRange, at, format!("{field}: {e}")));
            }
        }
        Problems::check(problems)
    }

    /// Returns the settings of the caller port.
    pub fn edge_cfg(&self) -> EdgeCfg {
        EdgeCfg {
            lookup_lifetime: Duration::from_secs(self.lookup_lifetime_s.value),
            refuse_when_not_current: self.freshness == FreshnessPolicy::Refuse,
            key_check_lifetime: Duration::from_millis(self.freshness_bound_ms.value),
            ..self.limits.edge_cfg()
        }
    }
}

pub(crate) fn check_range<T: PartialOrd + Copy + std::fmt::Display>(
    problems: &mut Vec<Problem>,
    place: &str,
    field: &str,
    value: &Spanned<T>,
    low: T,
    high: T,
) {
    if value.value < low || value.value > high {
        let detail = format!("{field}: {} is not within {low} to {high}", value.value);
        problems.push(Problem::new(
            Code::FieldOutOfRange,
            format!("{place}:{}", value.referenced.line()),
            detail,
        ));
    }
}

fn syntax_problem(place: &str, e: &serde_saphyr::Error) -> Problem {
    let text = e.to_string();
    let code = if text.contains("unknown field") {
        Code::FieldUnknown
    } else if text.contains("missing field") {
        Code::FieldMissing
    } else if text.contains("duplicate") {
        Code::NameDuplicate
    } else if ["invalid", "unknown variant", "expected string scalar"]
        .iter()
        .any(|part| text.contains(part))
    {
        Code::FieldOutOfRange
    } else {
        Code::SyntaxInvalid
    };
    let place = e
        .location()
        .map_or_else(|| place.to_owned(), |at| format!("{place}:{}", at.line()));
    let first_line = text.lines().next().unwrap_or_default().to_owned();
    Problem::new(code, place, first_line)
}
