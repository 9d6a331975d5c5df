//! Local settings of a gateway: a TOML file that may change while the process runs.

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

/// Thousandths of a core that count as much as 1 Mbit/s of the link.
const POWER_PER_MBPS: f64 = 5.0;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' calls.
    pub calls: SocketAddr,
    /// Readiness of this gateway.
    pub readiness: SocketAddr,
    /// Callers that ask which gateway to use.
    pub directions: SocketAddr,
    /// Gateways that ask for news (TCP).
    pub news: SocketAddr,
    /// Heartbeats of other gateways (UDP).
    pub heartbeats: SocketAddr,
    /// Metrics, where they are to be served.
    pub metrics: Option<SocketAddr>,
}

/// What the host gives to the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Cores.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: u64,
    /// Width of the link in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
}

impl Size {
    /// What the host can carry beside others, in thousandths of a core. A narrow link counts as the
    /// part of a core that its bytes take.
    pub fn capacity(&self) -> u32 {
        (self.cores * 1_000.0).min(self.link_mbps * POWER_PER_MBPS).max(1.0) as u32
    }
}

/// Directions for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectionSettings {
    /// Gateways of a failure domain that callers are directed to.
    pub gateways: usize,
    /// How long directions may be used, in ms.
    pub lifetime_ms: u64,
}

impl Default for DirectionSettings {
    fn default() -> Self {
        Self { gateways: 1, lifetime_ms: 1_000 }
    }
}

/// Second tries, as the whole fleet may make them.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Second tries per call.
    pub ratio: f64,
    /// Second tries of the fleet in each window besides.
    pub slack: f64,
    /// Window in ms.
    pub window_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 0.0, window_ms: 10_000 }
    }
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time in ms from the signal to the kill.
    pub grace_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 6_000 }
    }
}

/// The local file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Addresses.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of gateways that are asked at the start who there is. The port is not used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What the host gives.
    pub size: Size,
    /// Directions.
    #[serde(default)]
    pub directions: DirectionSettings,
    /// Second tries.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Probes that one target may get in a second from all gateways together.
    #[serde(default = "default_probes")]
    pub probes_per_s: f64,
    /// Part of a call's worth that 1 kB to another failure domain costs.
    #[serde(default = "default_crossing")]
    pub crossing_cost_per_kb: f64,
    /// Time in ms between two reads of the platform.
    #[serde(default = "default_read_ms")]
    pub read_ms: u64,
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Texts `name=value` that the adapter of the platform understands.
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

fn default_read_ms() -> u64 {
    1_000
}

fn default_level() -> String {
    "info".to_owned()
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Not TOML of this form.
    Malformed(String),
    /// A value is out of its range.
    OutOfRange(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(problem) => f.write_str(problem),
            Self::OutOfRange(key) => write!(f, "{key} is out of its range"),
        }
    }
}

impl Error for SettingsError {}

impl Settings {
    /// Parses and checks the text of the file `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the first problem.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Report<SettingsError>> {
        let parsed: Self = toml::from_str(text)
            .map_err(|e| Report::new(SettingsError::Malformed(e.to_string())))
            .attach_with(|| path.display().to_string())?;
        parsed.check().attach_with(|| path.display().to_string())?;
        Ok(parsed)
    }

    /// Hosts of the seeds.
    pub fn seed_hosts(&self) -> Vec<IpAddr> {
        self.seeds.iter().map(SocketAddr::ip).collect()
    }

    /// Time between two reads of the platform.
    pub fn read_interval(&self) -> Duration {
        Duration::from_millis(self.read_ms)
    }

    fn check(&self) -> Result<(), Report<SettingsError>> {
        let ranges = [
            ("host", !self.host.is_empty()),
            ("size.cores", self.size.cores.is_finite() && self.size.cores > 0.0),
            ("size.link_mbps", self.size.link_mbps.is_finite() && self.size.link_mbps > 0.0),
            ("directions.gateways", self.directions.gateways > 0),
            ("retries.ratio", self.retries.ratio.is_finite() && self.retries.ratio >= 0.0),
            ("retries.slack", self.retries.slack.is_finite() && self.retries.slack >= 0.0),
            ("retries.window_ms", self.retries.window_ms > 0),
            ("crossing_cost_per_kb", self.crossing_cost_per_kb.is_finite()),
            ("probes_per_s", self.probes_per_s.is_finite() && self.probes_per_s >= 0.0),
            ("read_ms", self.read_ms > 0),
        ];
        match ranges.into_iter().find(|(_, sound)| !sound) {
            Some((key, _)) => Err(Report::new(SettingsError::OutOfRange(key))),
            None => Ok(()),
        }
    }
}
