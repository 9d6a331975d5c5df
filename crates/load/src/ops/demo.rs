//! Demonstration: starts a complete deployment, sends a mixed load and checks the results.

use super::{
    callers::Callers,
    direct::RequestTemplate,
    fleet::{Entry, Fleet},
    open_loop,
};
use crate::core::{
    LoadError,
    consistency::ConsistencyReport,
    deployment::{Deployment, TargetGroup},
    mix::Mix,
    report,
    schedule::Plan,
    stats::Outcomes,
};
use azuretally_api::admin::EntryStatus;
use azuretally_standin::target::{GroupReport, TargetCounts};
use error_stack::Report;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Settings document of the demonstration.
const SETTINGS_DOCUMENT: &str = include_str!("../../settings/spaza-link.toml");
/// Weights of the operations.
const WEIGHTS: [(&str, f64); 5] = [
    ("till.balance", 60.0),
    ("till.sale", 20.0),
    ("till.prices", 5.0),
    ("reporting.report", 10.0),
    ("reporting.reconciliation", 5.0),
];
/// Preset that is activated halfway through the load.
const PEAK_PRESET: &str = "peak";
/// Time within which every entry must apply a new revision.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between status requests to the entries.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of the command.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Duration of the load.
    pub duration: Duration,
    /// Rate in calls per second.
    pub rate: f64,
    /// Mean service time.
    pub service_time: Duration,
    /// Random seed of the load and of the targets.
    pub seed: u64,
}

/// Condition that is checked after the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// Name of the condition.
    pub name: &'static str,
    /// Whether the condition holds.
    pub passed: bool,
    /// Observed values.
    pub observed: String,
}

/// Runs the demonstration and prints its results. Returns true if all checks passed.
///
/// # Errors
///
/// [`LoadError`] if the deployment cannot be started or the load cannot be sent.
pub async fn run(options: &DemoOptions) -> Result<bool, Report<LoadError>> {
    let deployment = deployment(options)?;
    println!("starting the platform, 30 targets and {} entries", deployment.entry_count);
    let fleet = Fleet::start(&deployment, 0).await?;
    let weights: Vec<_> = WEIGHTS.iter().map(|&(n, w)| (n.to_owned(), w)).collect();
    let mix = Mix::new(&deployment.published, &weights)?;
    let template = RequestTemplate { mix: mix.clone(), seed: options.seed, has_id: true };
    let mut plan = Plan::constant_rate(options.rate, options.duration, options.seed);
    plan.service_time = options.service_time;
    let callers = Arc::new(Callers::new(template, plan.callers, fleet.directions()));
    callers.prefetch_directions().await;

    let before = group_reports(&fleet).await?;
    let cpu = fleet.cpu_s();
    let control = control_cpu_s(&fleet);
    let started = Instant::now();
    println!("load: {:.0} calls/s for {:.0} s", options.rate, options.duration.as_secs_f64());
    let (outcomes, switch) = tokio::join!(
        open_loop::run(Arc::clone(&callers), plan.generate_calls(&mix)),
        switch_preset(&fleet, options.duration / 2)
    );
    let outcomes = outcomes?;
    let switch = switch?;
    let cpu = fleet.cpu_s() - cpu;
    let control = format_core_share(&control, &control_cpu_s(&fleet), started.elapsed());
    let statuses = fleet.statuses().await;
    let after = self::group_reports(&fleet).await?;

    println!("\n{}", report::call_table(&outcomes.by_operation(&mix), &outcomes.total(&mix)));
    print_target_usage(&deployment, &before, &after);
    let us = 1e6 * cpu / outcomes.sent.max(1) as f64;
    println!("entries: {us:.0} us of CPU time per call");
    let resident = fleet.entries.iter().map(|e| e.process.resident_mib()).fold(0.0, f64::max);
    println!(
        "entries: control thread {control} of a core each; at most {resident:.0} MiB resident"
    );
    print_entries(&statuses);
    println!("switch to preset `{PEAK_PRESET}`: {switch}\n");
    callers.close().await;

    let consistency = ConsistencyReport::new(&mix, options.seed, &outcomes, &after);
    let checks =
        checks(&outcomes, &mix, &consistency, &statuses, &switch, callers.mismatched_answers());
    for check in &checks {
        let label = if check.passed { "ok" } else { "BROKEN" };
        println!("{label:>6}  {}: {}", check.name, check.observed);
    }
    Ok(checks.iter().all(|c| c.passed))
}

/// Returns the deployment of the demonstration.
fn deployment(options: &DemoOptions) -> Result<Deployment, Report<LoadError>> {
    let mut deployment = Deployment::new("spaza-link.toml", SETTINGS_DOCUMENT.to_owned())?;
    let ms = options.service_time.as_secs_f64() * 1_000.0;
    let group = |service: &str, count, seed: u64| TargetGroup {
        service: Arc::from(service),
        count,
        slots: 2,
        options: ["--fixed", "--service-ms", &ms.to_string(), "--shift-ms", "50-500", "--seed"]
            .iter()
            .map(|s| (*s).to_owned())
            .chain([seed.to_string()])
            .collect(),
    };
    deployment.target_groups =
        vec![group("till", 13, options.seed), group("reporting", 17, options.seed + 1)];
    Ok(deployment)
}

/// Returns the CPU time of the control thread of every entry, in s.
fn control_cpu_s(fleet: &Fleet) -> Vec<f64> {
    let control = |e: &Entry| {
        let threads = e.process.thread_cpu_s().into_iter().filter(|(name, _)| name == "control");
        threads.map(|(_, cpu)| cpu).sum()
    };
    fleet.entries.iter().map(control).collect()
}

/// Formats the mean and the largest fraction of a core, in percent, from CPU times in s before and
/// after `elapsed`.
fn format_core_share(before: &[f64], after: &[f64], elapsed: Duration) -> String {
    let shares = before.iter().zip(after).map(|(b, a)| 100.0 * (a - b) / elapsed.as_secs_f64());
    let shares: Vec<f64> = shares.collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let most = shares.iter().copied().fold(0.0, f64::max);
    format!("{mean:.2}% (at most {most:.2}%)")
}

/// Returns the counts of all target groups, with the executions by key.
async fn group_reports(fleet: &Fleet) -> Result<Vec<GroupReport>, Report<LoadError>> {
    let mut reports = Vec::new();
    for g in 0..fleet.groups.len() {
        reports.push(fleet.group_report(g, true).await?);
    }
    Ok(reports)
}

/// Result of the switch to another preset.
#[derive(Clone, Copy, Debug)]
struct PresetSwitch {
    /// Revision of the settings with the new preset.
    revision: u64,
    /// Time until every entry had applied the revision, if they did so in time.
    applied_after: Option<Duration>,
}

impl std::fmt::Display for PresetSwitch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.applied_after {
            Some(time) => write!(
                f,
                "revision {} active at every entry after {} ms",
                self.revision,
                time.as_millis()
            ),
            None => write!(f, "revision {} not active at every entry in time", self.revision),
        }
    }
}

/// Publishes the settings with the other preset after `delay` and waits until every entry has
/// applied them.
async fn switch_preset(fleet: &Fleet, delay: Duration) -> Result<PresetSwitch, Report<LoadError>> {
    time::sleep(delay).await;
    let document = SETTINGS_DOCUMENT.replacen(
        "preset = \"ordinary\"",
        &format!("preset = \"{PEAK_PRESET}\""),
        1,
    );
    let revision = fleet.publish(document).await?;
    let start = Instant::now();
    while start.elapsed() < SWITCH_TIMEOUT {
        let statuses = fleet.statuses().await;
        let is_applied = |s: &EntryStatus| s.revision >= revision && s.preset == PEAK_PRESET;
        if statuses.iter().all(|(_, s)| s.as_ref().is_some_and(is_applied)) {
            return Ok(PresetSwitch { revision, applied_after: Some(start.elapsed()) });
        }
        time::sleep(SWITCH_POLL_INTERVAL).await;
    }
    Ok(PresetSwitch { revision, applied_after: None })
}

/// Returns the sum of `value` over all targets.
fn sum(report: &GroupReport, value: impl Fn(&TargetCounts) -> f64) -> f64 {
    report.targets.values().map(value).sum()
}

/// Prints how the slots of each target group were used between `before` and `after`, and how many
/// connections were accepted since the start.
fn print_target_usage(deployment: &Deployment, before: &[GroupReport], after: &[GroupReport]) {
    for (g, group) in deployment.target_groups.iter().enumerate() {
        let (a, b) = (&after[g], &before[g]);
        let increase = |value: fn(&TargetCounts) -> f64| sum(a, value) - sum(b, value);
        let elapsed = a.now_ms.saturating_sub(b.now_ms).max(1) as f64;
        let slot_ms = elapsed * f64::from(group.slots) * f64::from(group.count);
        println!(
            "targets of {}: {:.0} probes, {:.3}% of slot time; {:.0}% of slot time on calls, \
             {:.3} refusals per call, {:.0} connections",
            group.service,
            increase(|t| t.probes as f64),
            100.0 * increase(|t| t.probe_ms) / slot_ms,
            100.0 * increase(|t| t.busy_ms) / slot_ms,
            increase(|t| t.refused_busy as f64) / increase(|t| t.starts as f64).max(1.0),
            sum(a, |t| t.connections as f64),
        );
    }
}

/// Prints the entries grouped by revision, preset and state.
fn print_entries(statuses: &[(String, Option<EntryStatus>)]) {
    let mut by_revision: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for (host, status) in statuses {
        let text = match status {
            Some(s) => format!("revision {}, preset `{}`, {}", s.revision, s.preset, s.state),
            None => "no answer".to_owned(),
        };
        by_revision.entry(text).or_default().push(host);
    }
    for (text, hosts) in by_revision {
        println!("{text}: {} ({} entries)", hosts.join(" "), hosts.len());
    }
}

/// Evaluates all checks.
fn checks(
    outcomes: &Outcomes,
    mix: &Mix,
    consistency: &ConsistencyReport,
    statuses: &[(String, Option<EntryStatus>)],
    switch: &PresetSwitch,
    mismatched_answers: u64,
) -> Vec<Check> {
    let total = outcomes.total(mix);
    let operation_stats = outcomes.by_operation(mix);
    let unanswered = operation_stats.iter().filter(|(_, t)| t.sent > 0 && t.answered == 0);
    let unanswered: Vec<&str> = unanswered.map(|(name, _)| &**name).collect();
    let revisions: Vec<_> =
        statuses.iter().filter_map(|(_, s)| s.as_ref().map(|s| s.revision)).collect();
    vec![
        Check {
            name: "conservation",
            passed: outcomes.is_conserved(mix),
            observed: format!(
                "{} sent = {} answered + {} not run + {} unknown",
                outcomes.sent, total.answered, total.not_run, total.unknown
            ),
        },
        Check {
            name: "at most once",
            passed: consistency.repeated == 0,
            observed: format!(
                "of {} calls that are not idempotent, {} were executed more than once",
                consistency.non_idempotent, consistency.repeated
            ),
        },
        Check {
            name: "refused calls not run",
            passed: consistency.refused_run == 0,
            observed: format!(
                "of {} calls reported as not run, {} were executed",
                total.not_run, consistency.refused_run
            ),
        },
        Check {
            name: "answers match calls",
            passed: mismatched_answers == 0,
            observed: format!("{mismatched_answers} answers belonged to another call"),
        },
        Check {
            name: "preset active everywhere",
            passed: switch.applied_after.is_some()
                && revisions.len() == statuses.len()
                && revisions.iter().all(|&r| r == switch.revision),
            observed: switch.to_string(),
        },
        Check {
            name: "every operation answered",
            passed: total.answered > 0 && unanswered.is_empty(),
            observed: format!("operations without an answer: [{}]", unanswered.join(" ")),
        },
    ]
}
