//! Runs all variants of an experiment one after the other and reports them side by side.

use super::{plot, trial, trial::Trial};
use crate::{
    core::{LoadError, experiment::Experiment},
    util::table,
};
use error_stack::{Report, ResultExt};
use serde::Serialize;
use std::{fs, path::Path, path::PathBuf};

/// Column titles of the table. Latencies are in ms.
const HEADER: [&str; 15] = [
    "variant",
    "load",
    "calls/s",
    "p50",
    "p99",
    "p99.9",
    "p99/ideal",
    "p99.9/ideal",
    "in time",
    "worth",
    "not run",
    "unknown",
    "refused/call",
    "probes",
    "us/call",
];

/// Options of the command.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// File that describes the experiment.
    pub file: PathBuf,
    /// Directory for the JSON report and the plot. Without it neither is written.
    pub out: Option<PathBuf>,
    /// Names of the variants to run. Empty for all.
    pub only: Vec<String>,
}

/// Contents of the JSON report.
#[derive(Clone, Debug, Serialize)]
struct Results<'a> {
    title: &'a str,
    seed: u64,
    trials: &'a [Trial],
}

/// Runs the experiment, prints its table and writes its report and plot.
///
/// # Errors
///
/// [`LoadError`] if a trial cannot be run or a file cannot be written.
pub async fn run(options: &ExperimentOptions) -> Result<(), Report<LoadError>> {
    let experiment = Experiment::read(&options.file)?;
    let dir = options.file.parent().unwrap_or(Path::new("."));
    let mut trials: Vec<Trial> = Vec::new();
    let mut deployment_number = 1;
    for &load in &experiment.loads {
        for variant in &experiment.variants {
            if !options.only.is_empty() && !options.only.contains(&variant.name) {
                continue;
            }
            let trial = trial::run(&experiment, variant, load, dir, deployment_number).await?;
            eprintln!(
                "{} at {:.0}%: p99 {:.2} ms",
                trial.variant,
                100.0 * load,
                trial.total.latency.p99
            );
            trials.push(trial);
            deployment_number += 1;
        }
    }
    let seed = experiment.seed;
    println!("{} (seed {seed}, capacity {:.0} calls/s)\n", experiment.title, experiment.capacity());
    println!("{}", render(&trials));
    if let Some(out) = &options.out {
        write_files(&experiment, &options.file, out, &trials)?;
    }
    Ok(())
}

/// Writes the JSON report and the plot to the directory `out`.
fn write_files(
    experiment: &Experiment,
    file: &Path,
    out: &Path,
    trials: &[Trial],
) -> Result<(), Report<LoadError>> {
    let name = file.file_stem().unwrap_or_default();
    let path = out.join(name).with_extension("json");
    let failed = || LoadError::WriteFile(path.clone());
    fs::create_dir_all(out).change_context_lazy(failed)?;
    let results = Results { title: &experiment.title, seed: experiment.seed, trials };
    let json = serde_json::to_string_pretty(&results).change_context_lazy(failed)?;
    fs::write(&path, json).change_context_lazy(failed)?;
    plot::draw(experiment, trials, &out.join(name).with_extension("svg"))
}

/// Renders the table of all trials, with ratios to the ideal at the same load.
fn render(trials: &[Trial]) -> String {
    let rows: Vec<Vec<String>> = trials.iter().map(|t| row(t, trials)).collect();
    let mut text = table::render(&HEADER, &rows);
    text.push('\n');
    for trial in trials.iter().filter(|t| !t.is_sound) {
        let (name, load) = (&trial.variant, 100.0 * trial.load);
        text.push_str(&format!(
            "UNSOUND: {name} at {load:.0}%: {} non-idempotent calls ran more than once, \
             {} refused calls ran\n",
            trial.repeated, trial.refused_run
        ));
    }
    for trial in trials.iter().filter(|t| t.operations.len() > 1) {
        for (operation, stats) in &trial.operations {
            text.push_str(&format!(
                "{} at {:.0}%: {operation}: {} sent, {:.1}% in time, p99 {:.1} ms\n",
                trial.variant,
                100.0 * trial.load,
                stats.sent,
                100.0 * stats.in_time_share(),
                stats.latency.p99
            ));
        }
    }
    text
}

fn row(trial: &Trial, all: &[Trial]) -> Vec<String> {
    let ideal = all.iter().find(|t| t.ideal && t.load == trial.load);
    let ratio = |value: f64, of: fn(&Trial) -> f64| match ideal {
        Some(ideal) if of(ideal) > 0.0 => format!("{:.2}", value / of(ideal)),
        _ => "-".to_owned(),
    };
    let total = &trial.total;
    let sent = total.sent.max(1) as f64;
    vec![
        trial.variant.clone(),
        format!("{:.0}%", 100.0 * trial.load),
        format!("{:.0}", trial.rate),
        format!("{:.2}", total.latency.p50),
        format!("{:.2}", total.latency.p99),
        format!("{:.2}", total.latency.p999),
        ratio(total.latency.p99, |t| t.total.latency.p99),
        ratio(total.latency.p999, |t| t.total.latency.p999),
        format!("{:.2}%", 100.0 * total.in_time_share()),
        ratio(total.worth, |t| t.total.worth),
        format!("{:.2}%", 100.0 * total.not_run as f64 / sent),
        format!("{:.2}%", 100.0 * total.unknown as f64 / sent),
        format!("{:.3}", trial.refusals),
        format!("{:.3}%", 100.0 * trial.probe_share),
        format!("{:.0}", trial.entry_us),
    ]
}
