//! Trial: one variant of an experiment at one load.

use super::{
    callers::Callers,
    central_queue::{CentralQueue, Slowdown, SpeedModel},
    direct::RequestTemplate,
    fleet::Fleet,
    open_loop::{self, START_DELAY},
};
use crate::core::{
    LoadError,
    consistency::ConsistencyReport,
    deployment::Deployment,
    experiment::{Experiment, Trigger, Variant},
    mix::Mix,
    schedule::DEFAULT_CALLERS,
    stats::{CallStats, Outcomes, Percentiles},
};
use azuretally_standin::target::{
    GroupReport, NoisyNeighbour, NoisyNeighbourOptions, TargetCounts,
};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use rustix::process::Signal;
use serde::Serialize;
use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Length of one window of the time series.
const WINDOW_LENGTH: Duration = Duration::from_millis(500);
/// Index of the only target group of an experiment.
const TARGET_GROUP: usize = 0;

/// Statistics of one window of the time series.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Window {
    /// Start of the window, in s since the start of the load.
    pub from_s: f64,
    /// Latency percentiles of the answered calls that were scheduled in the window.
    pub latency: Percentiles,
    /// Fraction of the calls scheduled in the window that were answered successfully in time.
    pub in_time: f64,
}

/// Results of one trial.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Name of the variant.
    pub variant: String,
    /// Whether the variant is the ideal central queue.
    pub ideal: bool,
    /// Load as a fraction of the capacity.
    pub load: f64,
    /// Rate outside of overload, in calls per second.
    pub rate: f64,
    /// Statistics of all calls after the warm-up.
    pub total: CallStats,
    /// Statistics of each operation after the warm-up.
    pub operations: IndexMap<Arc<str>, CallStats>,
    /// Refusals by targets because all slots were taken, per call sent.
    pub refusals: f64,
    /// Executions that targets started, per call sent.
    pub starts: f64,
    /// Fraction of slot time spent on calls.
    pub busy_share: f64,
    /// Fraction of slot time spent on probes.
    pub probe_share: f64,
    /// Largest number of calls accepted by one target, as a multiple of the mean over all targets.
    pub top_share: f64,
    /// Number of calls accepted by the first target, as a multiple of the mean over all targets.
    pub first_share: f64,
    /// CPU time of all entries per call sent, in µs.
    pub entry_us: f64,
    /// Calls that are not idempotent and were executed more than once.
    pub repeated: u64,
    /// Calls with the outcome "not run" that were executed.
    pub refused_run: u64,
    /// Whether every call has exactly one outcome and `repeated` and `refused_run` are 0.
    pub is_sound: bool,
    /// Time series over the whole load.
    pub windows: Vec<Window>,
}

/// Runs `variant` at `load`. Each trial of one process needs a different `deployment_number`.
///
/// # Errors
///
/// [`LoadError`] if the trial cannot be run.
pub async fn run(
    experiment: &Experiment,
    variant: &Variant,
    load: f64,
    dir: &Path,
    deployment_number: u8,
) -> Result<Trial, Report<LoadError>> {
    let mut deployment = experiment.deployment(variant, dir)?;
    if variant.ideal {
        deployment.entry_count = 0;
    }
    let mix = experiment.mix(&deployment)?;
    let fleet = Fleet::start(&deployment, deployment_number).await?;
    let template = RequestTemplate { mix: mix.clone(), seed: experiment.seed, has_id: true };
    let calls = experiment.plan(load).generate_calls(&mix);
    let before = fleet.group_report(TARGET_GROUP, false).await?;
    let cpu = fleet.cpu_s();
    let outcomes = if variant.ideal {
        let start = Instant::now() - Duration::from_millis(before.now_ms);
        let queue = central_queue(experiment, template, &deployment, &fleet, start);
        let queue = Arc::new(queue);
        let sending = open_loop::run(Arc::clone(&queue), calls);
        let (outcomes, triggered) = tokio::join!(sending, run_triggers(experiment, &fleet));
        triggered?;
        queue.close().await;
        outcomes?
    } else {
        let callers = Arc::new(Callers::new(template, DEFAULT_CALLERS, fleet.directions()));
        callers.prefetch_directions().await;
        let sending = open_loop::run(Arc::clone(&callers), calls);
        let (outcomes, triggered) = tokio::join!(sending, run_triggers(experiment, &fleet));
        triggered?;
        callers.close().await;
        outcomes?
    };
    let cpu = fleet.cpu_s() - cpu;
    let after = fleet.group_report(TARGET_GROUP, true).await?;
    Ok(summarize(experiment, variant, load, &mix, &outcomes, cpu, &before, &after))
}

/// Creates the ideal central queue. `start` is the time at which the targets started.
fn central_queue(
    experiment: &Experiment,
    template: RequestTemplate,
    deployment: &Deployment,
    fleet: &Fleet,
    start: Instant,
) -> CentralQueue {
    let noisy_neighbour = experiment.neighbour.map(|n| {
        let options = NoisyNeighbourOptions {
            shortest: Duration::from_millis(n.shortest_ms),
            longest: Duration::from_millis(n.longest_ms),
            share: n.share,
            factor: n.factor,
        };
        NoisyNeighbour::new(options, experiment.targets.into(), experiment.seed)
    });
    let preset = deployment.published.active_preset();
    let rank = |class: &str| {
        preset.and_then(|p| p.classes.iter().position(|c| *c.name == *class)).unwrap_or_default()
    };
    let class_ranks = template.mix.operations.iter().map(|o| rank(&o.class)).collect();
    let speed = SpeedModel { noisy_neighbour, start, slowdowns: slowdowns(experiment) };
    CentralQueue::new(
        template,
        class_ranks,
        &fleet.groups[TARGET_GROUP].addresses,
        experiment.slots,
        speed,
    )
}

/// Returns the slowdowns that the `slow_factor` faults of the experiment will cause. Other faults,
/// such as cold targets, are not modelled.
fn slowdowns(experiment: &Experiment) -> Vec<Slowdown> {
    let start = Instant::now() + START_DELAY;
    let at = |s: f64| start + Duration::from_secs_f64(s);
    let mut slowdowns = Vec::new();
    for trigger in &experiment.triggers {
        if let Trigger::Faults { from_s, until_s, targets, faults } = trigger {
            let factor = faults.get("slow_factor").and_then(|v| v.as_float()).unwrap_or(1.0);
            let until = at(until_s.unwrap_or(experiment.seconds));
            let slowdown = |target| Slowdown { target, from: at(*from_s), until, factor };
            slowdowns.extend((0..usize::from(*targets)).map(slowdown));
        }
    }
    slowdowns
}

/// Runs the triggers at their times, one after the other in the order of the experiment. A trigger
/// that is due before the previous one has ended starts late.
async fn run_triggers(experiment: &Experiment, fleet: &Fleet) -> Result<(), Report<LoadError>> {
    let start = time::Instant::now() + START_DELAY;
    let at = |s: f64| time::sleep_until(start + Duration::from_secs_f64(s));
    for trigger in &experiment.triggers {
        match trigger {
            Trigger::Overload { .. } => {}
            Trigger::KillEntry { from_s } => {
                at(*from_s).await;
                kill_preferred_entry(experiment, fleet).await;
            }
            Trigger::Faults { from_s, until_s, targets, faults } => {
                let json = serde_json::to_string(faults).change_context(LoadError::Runtime)?;
                at(*from_s).await;
                set_faults(experiment, fleet, *targets, &json).await?;
                if let Some(until_s) = until_s {
                    at(*until_s).await;
                    set_faults(experiment, fleet, *targets, "{}").await?;
                }
            }
        }
    }
    Ok(())
}

/// Sets `faults`, as JSON, on the first `targets` targets.
async fn set_faults(
    experiment: &Experiment,
    fleet: &Fleet,
    targets: u16,
    faults: &str,
) -> Result<(), Report<LoadError>> {
    if targets >= experiment.targets {
        return fleet.set_faults(TARGET_GROUP, None, faults.to_owned()).await;
    }
    for i in 0..targets {
        let name = format!("{}-{i}", experiment.service);
        fleet.set_faults(TARGET_GROUP, Some(&name), faults.to_owned()).await?;
    }
    Ok(())
}

/// Kills the first entry in the directions of the service.
async fn kill_preferred_entry(experiment: &Experiment, fleet: &Fleet) {
    let Some(first) = fleet.preferred_entry(&experiment.service).await else { return };
    if let Some(entry) = fleet.entries.iter().find(|e| e.addresses.host == first) {
        entry.process.signal(Signal::KILL);
    }
}

/// Computes the results of a trial.
#[allow(clippy::too_many_arguments)]
fn summarize(
    experiment: &Experiment,
    variant: &Variant,
    load: f64,
    mix: &Mix,
    outcomes: &Outcomes,
    cpu_s: f64,
    before: &GroupReport,
    after: &GroupReport,
) -> Trial {
    let warm_up = Duration::from_secs_f64(experiment.warm_up);
    let samples = outcomes.samples.iter().filter(|s| s.at >= warm_up).cloned().collect::<Vec<_>>();
    let measured = Outcomes { sent: samples.len() as u64, samples };
    let consistency =
        ConsistencyReport::new(mix, experiment.seed, outcomes, std::slice::from_ref(after));
    let total_increase = |value: fn(&TargetCounts) -> f64| {
        let sum = |r: &GroupReport| r.targets.values().map(value).sum::<f64>();
        sum(after) - sum(before)
    };
    let slots = f64::from(experiment.slots) * f64::from(experiment.targets);
    let slot_ms = slots * after.now_ms.saturating_sub(before.now_ms).max(1) as f64;
    let sent = outcomes.sent.max(1) as f64;
    let starts = total_increase(|t| t.starts as f64);
    let multiple_of_mean = |t: &TargetCounts| {
        let accepted = (t.calls - t.refused_busy) as f64;
        accepted * f64::from(experiment.targets)
            / total_increase(|t| (t.calls - t.refused_busy) as f64).max(1.0)
    };
    let first = after.targets.get(&format!("{}-0", experiment.service));
    Trial {
        variant: variant.name.clone(),
        ideal: variant.ideal,
        load,
        rate: load * experiment.capacity(),
        total: measured.total(mix),
        operations: measured.by_operation(mix),
        refusals: total_increase(|t| t.refused_busy as f64) / sent,
        starts: starts / sent,
        busy_share: total_increase(|t| t.busy_ms) / slot_ms,
        probe_share: total_increase(|t| t.probe_ms) / slot_ms,
        top_share: after.targets.values().map(multiple_of_mean).fold(0.0, f64::max),
        first_share: first.map_or(0.0, multiple_of_mean),
        entry_us: 1e6 * cpu_s / sent,
        repeated: consistency.repeated,
        refused_run: consistency.refused_run,
        is_sound: outcomes.is_conserved(mix)
            && consistency.repeated == 0
            && consistency.refused_run == 0,
        windows: windows(experiment, mix, outcomes),
    }
}

/// Computes the time series over all calls, including those of the warm-up.
fn windows(experiment: &Experiment, mix: &Mix, outcomes: &Outcomes) -> Vec<Window> {
    let count = (experiment.seconds / WINDOW_LENGTH.as_secs_f64()).ceil() as u32;
    let window = |i: u32| {
        let (from, to) = (WINDOW_LENGTH * i, WINDOW_LENGTH * (i + 1));
        let inside = outcomes.samples.iter().filter(|s| s.at >= from && s.at < to);
        let stats = CallStats::from_samples(mix, inside);
        Window {
            from_s: from.as_secs_f64(),
            latency: stats.latency,
            in_time: stats.in_time_share(),
        }
    };
    (0..count).map(window).collect()
}
