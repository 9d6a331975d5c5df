//! Local settings of a gateway, read from a TOML file that may change while the process runs.

use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::{
    error::Error,
    fmt,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

/// CPU time that forwarding 1 Mbit/s takes, in thousandths of a core.
const MILLICORES_PER_MBPS: f64 = 5.0;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Calls from callers.
    pub calls: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Requests of callers for directions, that is, for the gateway to use.
    pub directions: SocketAddr,
    /// Requests of other gateways for catalog updates (TCP).
    pub news: SocketAddr,
    /// Heartbeats from other gateways (UDP).
    pub heartbeats: SocketAddr,
    /// Metrics; not served if absent.
    pub metrics: Option<SocketAddr>,
}

/// Resources of the host that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// CPU cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: u64,
    /// Bandwidth of the network link, in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
}

impl Size {
    /// Returns the capacity of the host in thousandths of a core, by which gateways are ranked.
    ///
    /// A slow link limits it to the CPU time that forwarding at full bandwidth takes. At least 1.
    pub fn capacity(&self) -> u32 {
        (self.cores * 1_000.0).min(self.link_mbps * MILLICORES_PER_MBPS).max(1.0) as u32
    }
}

/// Settings of the directions that callers get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectionSettings {
    /// Number of gateways of a failure domain that callers are directed to.
    pub gateways: usize,
    /// Time for which callers may use directions, in ms.
    pub lifetime_ms: u64,
}

impl Default for DirectionSettings {
    fn default() -> Self {
        Self { gateways: 1, lifetime_ms: 1_000 }
    }
}

/// Retry budget of the whole fleet. Hedges count as retries.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries that the fleet may make in each window in addition to `ratio`.
    pub slack: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 0.0, window_ms: 10_000 }
    }
}

/// Settings of the planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time from SIGTERM to SIGKILL, in ms.
    pub grace_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 6_000 }
    }
}

/// Contents of the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of gateways to contact at the start to join the fleet. The port is ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Resources of the host.
    pub size: Size,
    /// Local address from which connections to targets are opened, any if absent.
    #[serde(default)]
    pub target_source: Option<IpAddr>,
    /// Directions for callers.
    #[serde(default)]
    pub directions: DirectionSettings,
    /// Retry budget.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Maximum number of probes per second that one target gets from all gateways together.
    #[serde(default = "default_probes")]
    pub probes_per_s: f64,
    /// Longest rest that a target may ask for, in ms.
    #[serde(default = "default_rest_ms")]
    pub max_rest_ms: u64,
    /// Requests that a cold target may get in one second from all gateways together, as a factor on the rate of
    /// its service.
    #[serde(default = "default_cold")]
    pub cold_over: f64,
    /// Requests in addition.
    #[serde(default = "default_cold")]
    pub cold_slack: f64,
    /// Cost of sending 1 kB to another failure domain, as a fraction of the value of a call.
    #[serde(default = "default_crossing")]
    pub crossing_cost_per_kb: f64,
    /// Pause after a successful platform read, in ms.
    #[serde(default = "default_read_ms")]
    pub read_ms: u64,
    /// Log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Options of the platform's adapter, each of the form `name=value`.
    #[serde(default)]
    pub adapter: Vec<String>,
}

fn default_link() -> f64 {
    1_000.0
}

fn default_crossing() -> f64 {
    0.07
}

fn default_probes() -> f64 {
    10.0
}

fn default_rest_ms() -> u64 {
    3_600_000
}

fn default_cold() -> f64 {
    1.0
}

fn default_read_ms() -> u64 {
    1_000
}

fn default_level() -> String {
    "info".to_owned()
}

/// Error in the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The text is not TOML or does not match the schema.
    Malformed(String),
    /// The value of this key is out of range.
    OutOfRange(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(problem) => f.write_str(problem),
            Self::OutOfRange(key) => write!(f, "`{key}` is out of range"),
        }
    }
}

impl Error for SettingsError {}

impl Settings {
    /// Parses and validates `text`, which was read from the file `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] for the first problem found.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Report<SettingsError>> {
        let settings: Self = toml::from_str(text)
            .map_err(|e| Report::new(SettingsError::Malformed(e.to_string())))
            .attach_with(|| path.display().to_string())?;
        settings.validate().attach_with(|| path.display().to_string())?;
        Ok(settings)
    }

    /// Returns the IP addresses of the seeds.
    pub fn seed_hosts(&self) -> Vec<IpAddr> {
        self.seeds.iter().map(SocketAddr::ip).collect()
    }

    /// Returns the pause after a successful platform read.
    pub fn read_interval(&self) -> Duration {
        Duration::from_millis(self.read_ms)
    }

    fn validate(&self) -> Result<(), Report<SettingsError>> {
        let checks = [
            ("host", !self.host.is_empty()),
            ("size.cores", self.size.cores.is_finite() && self.size.cores > 0.0),
            ("size.link_mbps", self.size.link_mbps.is_finite() && self.size.link_mbps > 0.0),
            ("directions.gateways", self.directions.gateways > 0),
            ("retries.ratio", self.retries.ratio.is_finite() && self.retries.ratio >= 0.0),
            ("retries.slack", self.retries.slack.is_finite() && self.retries.slack >= 0.0),
            ("retries.window_ms", self.retries.window_ms > 0),
            ("crossing_cost_per_kb", self.crossing_cost_per_kb.is_finite()),
            ("probes_per_s", self.probes_per_s.is_finite() && self.probes_per_s >= 0.0),
            ("cold_over", self.cold_over.is_finite() && self.cold_over >= 0.0),
            ("cold_slack", self.cold_slack.is_finite() && self.cold_slack >= 0.0),
            ("read_ms", self.read_ms > 0),
            ("max_rest_ms", self.max_rest_ms > 0),
        ];
        match checks.into_iter().find(|(_, valid)| !valid) {
            Some((key, _)) => Err(Report::new(SettingsError::OutOfRange(key))),
            None => Ok(()),
        }
    }
}
