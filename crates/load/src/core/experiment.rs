//! Description of an experiment, read from a TOML file.

use super::{
    LoadError,
    deployment::{Deployment, TargetGroup},
    mix::Mix,
    schedule::{DEFAULT_CALLERS, Phase, Plan},
};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use serde::Deserialize;
use std::{fs, path::Path, path::PathBuf, sync::Arc, time::Duration};
use toml::{Table, Value};

/// Noisy neighbour: makes a changing subset of the targets slow.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoisyNeighbour {
    /// Shortest time before the slow targets change, in ms.
    pub shortest_ms: u64,
    /// Longest time before the slow targets change, in ms.
    pub longest_ms: u64,
    /// Share of the targets that are slow at any time, 0 to 1.
    pub share: f64,
    /// Factor by which the service times of slow targets are multiplied.
    pub factor: f64,
}

/// Event that is caused during the load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trigger {
    /// Multiplies the rate of calls.
    Overload {
        /// Begin, in s since the start of the load.
        from_s: f64,
        /// End, in s since the start of the load.
        until_s: f64,
        /// Factor of the rate.
        factor: f64,
    },
    /// Injects faults into the first targets.
    Faults {
        /// Begin, in s since the start of the load.
        from_s: f64,
        /// End, in s since the start of the load. Without it the faults persist.
        #[serde(default)]
        until_s: Option<f64>,
        /// Number of affected targets.
        targets: u16,
        /// Faults of the stand-in by name.
        faults: IndexMap<String, Value>,
    },
    /// Kills the first entry in the directions of the service.
    KillEntry {
        /// Time, in s since the start of the load.
        from_s: f64,
    },
}

/// Variant of the settings that is compared with the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Whether an ideal central queue with perfect knowledge replaces the entries.
    #[serde(default)]
    pub ideal: bool,
    /// Overridden settings by dotted key path.
    #[serde(default)]
    pub settings: IndexMap<String, Value>,
    /// Additional command line options of the stand-in targets.
    #[serde(default)]
    pub options: Vec<String>,
}

/// Quantity on the horizontal axis of the plot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlotKind {
    /// Load; plots the 99th percentile of the latency at each load.
    #[default]
    Load,
    /// Time; plots the 99th percentile of the latency in each window.
    Time,
    /// Share of slot time spent on probes; plots the 99th percentile of the latency.
    Cost,
}

/// Experiment: one or more loads, each of which is run against every variant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Title of the report.
    pub title: String,
    /// Path of the settings document, relative to the experiment file.
    pub settings: PathBuf,
    /// Service under load.
    pub service: Arc<str>,
    /// Number of targets.
    pub targets: u16,
    /// Slots of each target.
    pub slots: u32,
    /// Number of entries.
    #[serde(default = "default_entries")]
    pub entries: u16,
    /// Mean service time at full speed, in ms.
    pub service_ms: f64,
    /// Noisy neighbour, if any.
    #[serde(default)]
    pub neighbour: Option<NoisyNeighbour>,
    /// Additional command line options of the stand-in targets.
    #[serde(default)]
    pub options: Vec<String>,
    /// Weights of the operations, such as `till.balance=60,till.sale=30`.
    pub mix: String,
    /// Loads as fractions of the capacity of all targets.
    pub loads: Vec<f64>,
    /// Duration of the load in each trial, in s.
    pub seconds: f64,
    /// Warm-up in s. Calls that are scheduled before its end are excluded from the statistics.
    #[serde(default = "default_warm_up")]
    pub warm_up: f64,
    /// Random seed of the calls and of the noisy neighbour.
    pub seed: u64,
    /// Quantity on the horizontal axis of the plot.
    #[serde(default)]
    pub plot: PlotKind,
    /// Events that are caused during the load.
    #[serde(default)]
    pub triggers: Vec<Trigger>,
    /// Variants to compare.
    pub variants: Vec<Variant>,
}

fn default_entries() -> u16 {
    16
}

fn default_warm_up() -> f64 {
    1.0
}

impl Experiment {
    /// Reads an experiment from `path`.
    ///
    /// # Errors
    ///
    /// [`LoadError::ReadFile`] if the file cannot be read, [`LoadError::InvalidDocument`] if it is
    /// not a valid experiment.
    pub fn read(path: &Path) -> Result<Self, Report<LoadError>> {
        let text = fs::read_to_string(path)
            .change_context_lazy(|| LoadError::ReadFile(path.to_owned()))?;
        toml::from_str(&text).change_context_lazy(|| LoadError::InvalidDocument(path.to_owned()))
    }

    /// Returns the capacity of all targets in calls per second, reduced by the mean effect of the
    /// noisy neighbour.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * f64::from(self.targets);
        let speed = self.neighbour.map_or(1.0, |n| 1.0 - n.share + n.share / n.factor);
        slots * speed * 1_000.0 / self.service_ms
    }

    /// Returns the plan of a trial at `load`, a fraction of the capacity.
    pub fn plan(&self, load: f64) -> Plan {
        let rate = load * self.capacity();
        let mut phases = Vec::new();
        for trigger in &self.triggers {
            if let Trigger::Overload { from_s, until_s, factor } = *trigger {
                phases.push(Phase { until: Duration::from_secs_f64(from_s), rate });
                let until = Duration::from_secs_f64(until_s);
                phases.push(Phase { until, rate: rate * factor });
            }
        }
        phases.push(Phase { until: Duration::from_secs_f64(self.seconds), rate });
        let service_time = Duration::from_secs_f64(self.service_ms / 1_000.0);
        Plan { phases, seed: self.seed, callers: DEFAULT_CALLERS, service_time }
    }

    /// Returns the deployment of `variant`. The path of the settings is relative to `dir`.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the settings cannot be read or are refused.
    pub fn deployment(
        &self,
        variant: &Variant,
        dir: &Path,
    ) -> Result<Deployment, Report<LoadError>> {
        let path = dir.join(&self.settings);
        let refused = || LoadError::InvalidDocument(path.clone());
        let text =
            fs::read_to_string(&path).change_context_lazy(|| LoadError::ReadFile(path.clone()))?;
        let mut document: Table = toml::from_str(&text).change_context_lazy(refused)?;
        let slots = (format!("services.{}.slots", self.service), Value::Integer(self.slots.into()));
        for (key, value) in std::iter::once((&slots.0, &slots.1)).chain(&variant.settings) {
            set_value(&mut document, key, value).ok_or_else(|| {
                Report::new(refused()).attach(format!("setting `{key}` does not exist"))
            })?;
        }
        let text = toml::to_string(&document).change_context_lazy(refused)?;
        let mut deployment = Deployment::new(&path.display().to_string(), text)?;
        deployment.entry_count = self.entries;
        deployment.target_groups = vec![TargetGroup {
            service: Arc::clone(&self.service),
            count: self.targets,
            slots: self.slots,
            options: self.target_options(variant),
        }];
        Ok(deployment)
    }

    /// Returns the operations of the load.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the mix is malformed or names an operation that the settings do not define.
    pub fn mix(&self, deployment: &Deployment) -> Result<Mix, Report<LoadError>> {
        Mix::new(&deployment.published, &Mix::parse_weights(&self.mix)?)
    }

    fn target_options(&self, variant: &Variant) -> Vec<String> {
        // The load generator draws the service times and sends them with the calls.
        let mut options = vec!["--fixed".to_owned()];
        let mut add = |name: &str, value: String| options.extend([name.to_owned(), value]);
        add("--service-ms", self.service_ms.to_string());
        add("--seed", self.seed.to_string());
        if let Some(n) = self.neighbour {
            add("--shift-ms", format!("{}-{}", n.shortest_ms, n.longest_ms));
            add("--shift-share", n.share.to_string());
            add("--shift-factor", n.factor.to_string());
        }
        options.extend(self.options.iter().chain(&variant.options).cloned());
        options
    }
}

/// Sets the value at the dotted path `key`. Returns `None` if its parent table does not exist.
fn set_value(document: &mut Table, key: &str, value: &Value) -> Option<()> {
    match key.split_once('.') {
        None => {
            document.insert(key.to_owned(), value.clone());
            Some(())
        }
        Some((head, rest)) => set_value(document.get_mut(head)?.as_table_mut()?, rest, value),
    }
}
