//! Description of an experiment.

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

/// Slow neighbour that moves over the targets.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Neighbour {
    /// Shortest time in one place, in ms.
    pub shortest_ms: u64,
    /// Longest time in one place, in ms.
    pub longest_ms: u64,
    /// Share of the targets that are slow at any time, 0 to 1.
    pub share: f64,
    /// Service times of slow targets are multiplied by this.
    pub factor: f64,
}

/// Something that happens during the load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trigger {
    /// The rate of calls is multiplied by a factor.
    Overload {
        /// Begin, in s since the start of the load.
        from_s: f64,
        /// End, in s.
        until_s: f64,
        /// Factor.
        factor: f64,
    },
    /// The first targets of the group get faults of the stand-in.
    Faults {
        /// Begin, in s since the start of the load.
        from_s: f64,
        /// End, in s; the faults stay when it is left out.
        #[serde(default)]
        until_s: Option<f64>,
        /// Number of targets.
        targets: u16,
        /// Faults by name.
        faults: IndexMap<String, Value>,
    },
    /// The entry that callers are sent to first is killed.
    KillEntry {
        /// When, in s since the start of the load.
        from_s: f64,
    },
}

/// One way to be compared with the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Whether the central queue with perfect knowledge takes the place of the entries.
    #[serde(default)]
    pub ideal: bool,
    /// Settings that differ, by dotted key path.
    #[serde(default)]
    pub settings: IndexMap<String, Value>,
    /// Further options of the stand-in targets.
    #[serde(default)]
    pub options: Vec<String>,
}

/// What is drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlotKind {
    /// 99th percentile over the load.
    #[default]
    Load,
    /// 99th percentile over the time.
    Time,
    /// 99th percentile over the share of slot time spent on probes.
    Cost,
}

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Title of the report.
    pub title: String,
    /// Settings document, relative to the experiment.
    pub settings: PathBuf,
    /// Service under load.
    pub service: Arc<str>,
    /// Number of targets.
    pub targets: u16,
    /// Slots of each.
    pub slots: u32,
    /// Number of entries.
    #[serde(default = "default_entries")]
    pub entries: u16,
    /// Mean service time at full speed, in ms.
    pub service_ms: f64,
    /// Slow neighbour, if any.
    #[serde(default)]
    pub neighbour: Option<Neighbour>,
    /// Further options of the stand-in targets.
    #[serde(default)]
    pub options: Vec<String>,
    /// Weights of the operations, such as `till.balance=60,till.sale=30`.
    pub mix: String,
    /// Loads as shares of the capacity of all targets.
    pub loads: Vec<f64>,
    /// Length of each trial, in s.
    pub seconds: f64,
    /// Calls due before this time, in s, are left out of the sums.
    #[serde(default = "default_warm_up")]
    pub warm_up: f64,
    /// Seed of calls and of the neighbour.
    pub seed: u64,
    /// What is drawn.
    #[serde(default)]
    pub plot: PlotKind,
    /// What happens during the load.
    #[serde(default)]
    pub triggers: Vec<Trigger>,
    /// What is compared.
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
    /// [`LoadError::Read`] or [`LoadError::Settings`].
    pub fn read(path: &Path) -> Result<Self, Report<LoadError>> {
        let text =
            fs::read_to_string(path).change_context_lazy(|| LoadError::Read(path.to_owned()))?;
        toml::from_str(&text).change_context_lazy(|| LoadError::Settings(path.to_owned()))
    }

    /// Calls per second that all targets together can run.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * f64::from(self.targets);
        let speed = self.neighbour.map_or(1.0, |n| 1.0 - n.share + n.share / n.factor);
        slots * speed * 1_000.0 / self.service_ms
    }

    /// The calls of a trial at `load`.
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
        let service = Duration::from_secs_f64(self.service_ms / 1_000.0);
        Plan { phases, seed: self.seed, callers: DEFAULT_CALLERS, service }
    }

    /// The deployment of `variant`, from the settings in `folder`.
    ///
    /// # Errors
    ///
    /// [`LoadError`] when the settings cannot be read or are refused.
    pub fn deployment(
        &self,
        variant: &Variant,
        folder: &Path,
    ) -> Result<Deployment, Report<LoadError>> {
        let path = folder.join(&self.settings);
        let refused = || LoadError::Settings(path.clone());
        let text =
            fs::read_to_string(&path).change_context_lazy(|| LoadError::Read(path.clone()))?;
        let mut document: Table = toml::from_str(&text).change_context_lazy(refused)?;
        let slots = (format!("services.{}.slots", self.service), Value::Integer(self.slots.into()));
        for (key, value) in std::iter::once((&slots.0, &slots.1)).chain(&variant.settings) {
            set(&mut document, key, value)
                .ok_or_else(|| Report::new(refused()).attach(format!("no setting `{key}`")))?;
        }
        let text = toml::to_string(&document).change_context_lazy(refused)?;
        let mut deployment = Deployment::new(&path.display().to_string(), text)?;
        deployment.entries = self.entries;
        deployment.groups = vec![TargetGroup {
            service: Arc::clone(&self.service),
            count: self.targets,
            slots: self.slots,
            options: self.target_options(variant),
        }];
        Ok(deployment)
    }

    /// The operations under load.
    ///
    /// # Errors
    ///
    /// [`LoadError`] when the mix does not fit the settings.
    pub fn mix(&self, deployment: &Deployment) -> Result<Mix, Report<LoadError>> {
        Mix::new(&deployment.published, &Mix::parse_weights(&self.mix)?)
    }

    fn target_options(&self, variant: &Variant) -> Vec<String> {
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

/// Sets the value at the dotted path `key`, whose parent must exist.
fn set(document: &mut Table, key: &str, value: &Value) -> Option<()> {
    match key.split_once('.') {
        None => {
            document.insert(key.to_owned(), value.clone());
            Some(())
        }
        Some((head, rest)) => set(document.get_mut(head)?.as_table_mut()?, rest, value),
    }
}
