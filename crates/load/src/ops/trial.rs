//! One variant of an experiment at one load.

use super::{
    callers::Callers,
    direct::Shape,
    drive::{self, HEAD_START},
    fleet::Fleet,
    ideal::{Ideal, Slowed, Speed},
};
use crate::core::{
    LoadError,
    deployment::Deployment,
    experiment::{Experiment, Trigger, Variant},
    mix::Mix,
    proof::Proof,
    schedule::DEFAULT_CALLERS,
    score::{Outcomes, Percentiles, Tally},
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

/// Length of one window of the course over time.
const WINDOW: Duration = Duration::from_millis(500);
/// The only group of targets of an experiment.
const GROUP: usize = 0;

/// Latencies within one window.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Window {
    /// Begin, in s since the start of the load.
    pub from_s: f64,
    /// Latencies of the answered calls that were due in the window.
    pub latency: Percentiles,
    /// Share of the calls due in the window that were answered in time.
    pub in_time: f64,
}

/// What one trial gave.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Name of the variant.
    pub variant: String,
    /// Whether this is the ideal.
    pub ideal: bool,
    /// Share of the capacity.
    pub load: f64,
    /// Calls per second outside of overload.
    pub rate: f64,
    /// Sums over all calls after the warm-up.
    pub total: Tally,
    /// Sums by operation after the warm-up.
    pub operations: IndexMap<Arc<str>, Tally>,
    /// Refusals of targets because all slots were taken, per call.
    pub refusals: f64,
    /// Times that targets began work, per call sent.
    pub starts: f64,
    /// Share of slot time spent on calls.
    pub busy_share: f64,
    /// Share of slot time spent on probes.
    pub probe_share: f64,
    /// Largest share of one target in the starts, as a multiple of an equal share.
    pub top_share: f64,
    /// Share of the first target in the starts, as a multiple of an equal share.
    pub first_share: f64,
    /// Processor time of all entries per call, in µs.
    pub entry_us: f64,
    /// Calls that may not be repeated and were run more than once.
    pub repeated: u64,
    /// Calls told as not run that were run.
    pub refused_run: u64,
    /// Whether every call has exactly one outcome, and none ran that was refused or twice.
    pub is_sound: bool,
    /// Course over time.
    pub windows: Vec<Window>,
}

/// Runs `variant` at `load`. `number` tells deployments of one run apart.
///
/// # Errors
///
/// [`LoadError`] when the trial could not be run.
pub async fn run(
    experiment: &Experiment,
    variant: &Variant,
    load: f64,
    folder: &Path,
    number: u8,
) -> Result<Trial, Report<LoadError>> {
    let mut deployment = experiment.deployment(variant, folder)?;
    if variant.ideal {
        deployment.entries = 0;
    }
    let mix = experiment.mix(&deployment)?;
    let fleet = Fleet::start(&deployment, number).await?;
    let shape = Shape { mix: mix.clone(), seed: experiment.seed, is_named: true };
    let calls = experiment.plan(load).draw(&mix);
    let before = fleet.ledger(GROUP, false).await?;
    let cpu = fleet.cpu_s();
    let outcomes = if variant.ideal {
        let start = Instant::now() - Duration::from_millis(before.now_ms);
        let ideal = ideal(experiment, shape, &deployment, &fleet, start);
        let ideal = Arc::new(ideal);
        let driven = drive::drive(Arc::clone(&ideal), calls);
        let (outcomes, pulled) = tokio::join!(driven, pull(experiment, &fleet));
        pulled?;
        ideal.close().await;
        outcomes?
    } else {
        let callers = Arc::new(Callers::new(shape, DEFAULT_CALLERS, fleet.directions()));
        callers.ask_all().await;
        let driven = drive::drive(Arc::clone(&callers), calls);
        let (outcomes, pulled) = tokio::join!(driven, pull(experiment, &fleet));
        pulled?;
        callers.close().await;
        outcomes?
    };
    let cpu = fleet.cpu_s() - cpu;
    let after = fleet.ledger(GROUP, true).await?;
    Ok(sum_up(experiment, variant, load, &mix, &outcomes, cpu, &before, &after))
}

fn ideal(
    experiment: &Experiment,
    shape: Shape,
    deployment: &Deployment,
    fleet: &Fleet,
    start: Instant,
) -> Ideal {
    let shift = experiment.neighbour.map(|n| {
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
    let ranks = shape.mix.operations.iter().map(|o| rank(&o.class)).collect();
    let speed = Speed { shift, start, slowed: slowed(experiment) };
    Ideal::new(shape, ranks, &fleet.groups[GROUP].addresses, experiment.slots, speed)
}

fn slowed(experiment: &Experiment) -> Vec<Slowed> {
    let start = Instant::now() + HEAD_START;
    let at = |s: f64| start + Duration::from_secs_f64(s);
    let mut slowed = Vec::new();
    for trigger in &experiment.triggers {
        if let Trigger::Faults { from_s, until_s, targets, faults } = trigger {
            let factor = faults.get("slow_factor").and_then(|v| v.as_float()).unwrap_or(1.0);
            let until = at(until_s.unwrap_or(experiment.seconds));
            let one = |target| Slowed { target, from: at(*from_s), until, factor };
            slowed.extend((0..usize::from(*targets)).map(one));
        }
    }
    slowed
}

/// Brings about every trigger when it is due.
async fn pull(experiment: &Experiment, fleet: &Fleet) -> Result<(), Report<LoadError>> {
    let start = time::Instant::now() + HEAD_START;
    let at = |s: f64| time::sleep_until(start + Duration::from_secs_f64(s));
    for trigger in &experiment.triggers {
        match trigger {
            Trigger::Overload { .. } => {}
            Trigger::KillEntry { from_s } => {
                at(*from_s).await;
                kill_first(experiment, fleet).await;
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

async fn set_faults(
    experiment: &Experiment,
    fleet: &Fleet,
    targets: u16,
    faults: &str,
) -> Result<(), Report<LoadError>> {
    if targets >= experiment.targets {
        return fleet.set_faults(GROUP, None, faults.to_owned()).await;
    }
    for i in 0..targets {
        let name = format!("{}-{i}", experiment.service);
        fleet.set_faults(GROUP, Some(&name), faults.to_owned()).await?;
    }
    Ok(())
}

async fn kill_first(experiment: &Experiment, fleet: &Fleet) {
    let Some(first) = fleet.first_of(&experiment.service).await else { return };
    if let Some(entry) = fleet.entries.iter().find(|e| e.addresses.host == first) {
        entry.process.signal(Signal::KILL);
    }
}

#[allow(clippy::too_many_arguments)]
fn sum_up(
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
    let warm = Outcomes { sent: samples.len() as u64, samples };
    let proof = Proof::new(mix, experiment.seed, outcomes, std::slice::from_ref(after));
    let of = |value: fn(&TargetCounts) -> f64| {
        let sum = |l: &GroupReport| l.targets.values().map(value).sum::<f64>();
        sum(after) - sum(before)
    };
    let slots = f64::from(experiment.slots) * f64::from(experiment.targets);
    let slot_ms = slots * after.now_ms.saturating_sub(before.now_ms).max(1) as f64;
    let sent = outcomes.sent.max(1) as f64;
    let starts = of(|t| t.starts as f64);
    let share = |t: &TargetCounts| {
        let drawn = (t.calls - t.refused_busy) as f64;
        drawn * f64::from(experiment.targets) / of(|t| (t.calls - t.refused_busy) as f64).max(1.0)
    };
    let first = after.targets.get(&format!("{}-0", experiment.service));
    Trial {
        variant: variant.name.clone(),
        ideal: variant.ideal,
        load,
        rate: load * experiment.capacity(),
        total: warm.total(mix),
        operations: warm.by_operation(mix),
        refusals: of(|t| t.refused_busy as f64) / sent,
        starts: starts / sent,
        busy_share: of(|t| t.busy_ms) / slot_ms,
        probe_share: of(|t| t.probe_ms) / slot_ms,
        top_share: after.targets.values().map(share).fold(0.0, f64::max),
        first_share: first.map_or(0.0, share),
        entry_us: 1e6 * cpu_s / sent,
        repeated: proof.repeated,
        refused_run: proof.refused_run,
        is_sound: outcomes.is_conserved(mix) && proof.repeated == 0 && proof.refused_run == 0,
        windows: windows(experiment, mix, outcomes),
    }
}

fn windows(experiment: &Experiment, mix: &Mix, outcomes: &Outcomes) -> Vec<Window> {
    let count = (experiment.seconds / WINDOW.as_secs_f64()).ceil() as u32;
    let window = |i: u32| {
        let (from, to) = (WINDOW * i, WINDOW * (i + 1));
        let inside = outcomes.samples.iter().filter(|s| s.at >= from && s.at < to);
        let tally = Tally::of(mix, inside);
        Window {
            from_s: from.as_secs_f64(),
            latency: tally.latency,
            in_time: tally.in_time_share(),
        }
    };
    (0..count).map(window).collect()
}
