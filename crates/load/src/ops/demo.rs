//! The demonstration: a whole deployment from nothing, a mixed load and a verdict.

use super::{
    callers::Callers,
    direct::Shape,
    drive,
    fleet::{Entry, Fleet},
};
use crate::core::{
    LoadError,
    deployment::{Deployment, TargetGroup},
    mix::Mix,
    proof::Proof,
    report,
    schedule::Plan,
    score::Outcomes,
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

/// Settings of the demonstration.
const DOCUMENT: &str = include_str!("../../settings/spaza-link.toml");
/// Calls by operation, relative to each other.
const WEIGHTS: [(&str, f64); 5] = [
    ("till.balance", 60.0),
    ("till.sale", 20.0),
    ("till.prices", 5.0),
    ("reporting.report", 10.0),
    ("reporting.reconciliation", 5.0),
];
/// Preset that is put in force in the middle.
const NEXT_PRESET: &str = "peak";
/// Longest time in which a new revision must be in force at every entry.
const SWITCH_LIMIT: Duration = Duration::from_secs(5);
/// Pause between two looks at the entries.
const SWITCH_PAUSE: Duration = Duration::from_millis(50);

/// How the demonstration is run.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Length of the load.
    pub length: Duration,
    /// Calls per second.
    pub rate: f64,
    /// Mean service time.
    pub service: Duration,
    /// Seed of the load.
    pub seed: u64,
}

/// One condition of the verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// What must hold.
    pub name: &'static str,
    /// Whether it held.
    pub holds: bool,
    /// What was seen.
    pub seen: String,
}

/// Runs the demonstration and prints its table; true when every condition held.
///
/// # Errors
///
/// [`LoadError`] when it could not be run at all.
pub async fn run(options: &DemoOptions) -> Result<bool, Report<LoadError>> {
    let deployment = deployment(options)?;
    println!("starting the platform, 30 targets and {} entries", deployment.entries);
    let fleet = Fleet::start(&deployment, 0).await?;
    let weights: Vec<_> = WEIGHTS.iter().map(|&(n, w)| (n.to_owned(), w)).collect();
    let mix = Mix::new(&deployment.published, &weights)?;
    let shape = Shape { mix: mix.clone(), seed: options.seed, is_named: true };
    let mut plan = Plan::steady(options.rate, options.length, options.seed);
    plan.service = options.service;
    let callers = Arc::new(Callers::new(shape, plan.callers, fleet.directions()));
    callers.ask_all().await;

    let ledgers = ledgers(&fleet).await?;
    let cpu = fleet.cpu_s();
    let control = control_s(&fleet);
    let begun = Instant::now();
    println!("load: {:.0} calls/s for {:.0} s", options.rate, options.length.as_secs_f64());
    let (outcomes, switch) = tokio::join!(
        drive::drive(Arc::clone(&callers), plan.draw(&mix)),
        switch(&fleet, options.length / 2)
    );
    let outcomes = outcomes?;
    let switch = switch?;
    let cpu = fleet.cpu_s() - cpu;
    let control = share_of_core(&control, &control_s(&fleet), begun.elapsed());
    let statuses = fleet.statuses().await;
    let after = self::ledgers(&fleet).await?;

    println!("\n{}", report::calls(&outcomes.by_operation(&mix), &outcomes.total(&mix)));
    print_measuring(&deployment, &ledgers, &after);
    let us = 1e6 * cpu / outcomes.sent.max(1) as f64;
    println!("entries: {us:.0} us of processor time per call");
    let resident = fleet.entries.iter().map(|e| e.process.resident_mib()).fold(0.0, f64::max);
    println!("entries: control {control} of a core each; at most {resident:.0} MiB resident");
    print_entries(&statuses);
    println!("switch to preset `{NEXT_PRESET}`: {switch}\n");
    callers.close().await;

    let proof = Proof::new(&mix, options.seed, &outcomes, &after);
    let checks = checks(&outcomes, &mix, &proof, &statuses, &switch, callers.crossed());
    for check in &checks {
        let verdict = if check.holds { "ok" } else { "BROKEN" };
        println!("{verdict:>6}  {}: {}", check.name, check.seen);
    }
    Ok(checks.iter().all(|c| c.holds))
}

fn deployment(options: &DemoOptions) -> Result<Deployment, Report<LoadError>> {
    let mut deployment = Deployment::new("spaza-link.toml", DOCUMENT.to_owned())?;
    let ms = options.service.as_secs_f64() * 1_000.0;
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
    deployment.groups =
        vec![group("till", 13, options.seed), group("reporting", 17, options.seed + 1)];
    Ok(deployment)
}

/// Processor time of the control thread of every entry so far, in s.
fn control_s(fleet: &Fleet) -> Vec<f64> {
    let control = |e: &Entry| {
        let threads = e.process.threads().into_iter().filter(|(name, _)| name == "control");
        threads.map(|(_, cpu)| cpu).sum()
    };
    fleet.entries.iter().map(control).collect()
}

/// Mean and largest share of a core, in percent.
fn share_of_core(before: &[f64], after: &[f64], elapsed: Duration) -> String {
    let shares = before.iter().zip(after).map(|(b, a)| 100.0 * (a - b) / elapsed.as_secs_f64());
    let shares: Vec<f64> = shares.collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let most = shares.iter().copied().fold(0.0, f64::max);
    format!("{mean:.2}% (most {most:.2}%)")
}

async fn ledgers(fleet: &Fleet) -> Result<Vec<GroupReport>, Report<LoadError>> {
    let mut ledgers = Vec::new();
    for g in 0..fleet.groups.len() {
        ledgers.push(fleet.ledger(g, true).await?);
    }
    Ok(ledgers)
}

/// How the switch of the preset went.
#[derive(Clone, Copy, Debug)]
struct Switch {
    revision: u64,
    everywhere: Option<Duration>,
}

impl std::fmt::Display for Switch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.everywhere {
            Some(time) => write!(
                f,
                "revision {} in force at every entry after {} ms",
                self.revision,
                time.as_millis()
            ),
            None => write!(f, "revision {} not in force everywhere in time", self.revision),
        }
    }
}

async fn switch(fleet: &Fleet, after: Duration) -> Result<Switch, Report<LoadError>> {
    time::sleep(after).await;
    let document =
        DOCUMENT.replacen("preset = \"ordinary\"", &format!("preset = \"{NEXT_PRESET}\""), 1);
    let revision = fleet.publish(document).await?;
    let start = Instant::now();
    while start.elapsed() < SWITCH_LIMIT {
        let statuses = fleet.statuses().await;
        let is_there = |s: &EntryStatus| s.revision >= revision && s.preset == NEXT_PRESET;
        if statuses.iter().all(|(_, s)| s.as_ref().is_some_and(is_there)) {
            return Ok(Switch { revision, everywhere: Some(start.elapsed()) });
        }
        time::sleep(SWITCH_PAUSE).await;
    }
    Ok(Switch { revision, everywhere: None })
}

fn sum(ledger: &GroupReport, value: impl Fn(&TargetCounts) -> f64) -> f64 {
    ledger.targets.values().map(value).sum()
}

fn print_measuring(deployment: &Deployment, before: &[GroupReport], after: &[GroupReport]) {
    for (g, group) in deployment.groups.iter().enumerate() {
        let (a, b) = (&after[g], &before[g]);
        let of = |value: fn(&TargetCounts) -> f64| sum(a, value) - sum(b, value);
        let elapsed = a.now_ms.saturating_sub(b.now_ms).max(1) as f64;
        let slot_ms = elapsed * f64::from(group.slots) * f64::from(group.count);
        println!(
            "targets of {}: {:.0} probes, {:.3}% of slot time; {:.0}% of slot time on calls, \
             {:.3} refusals per call, {:.0} connections",
            group.service,
            of(|t| t.probes as f64),
            100.0 * of(|t| t.probe_ms) / slot_ms,
            100.0 * of(|t| t.busy_ms) / slot_ms,
            of(|t| t.refused_busy as f64) / of(|t| t.starts as f64).max(1.0),
            sum(a, |t| t.connections as f64),
        );
    }
}

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

fn checks(
    outcomes: &Outcomes,
    mix: &Mix,
    proof: &Proof,
    statuses: &[(String, Option<EntryStatus>)],
    switch: &Switch,
    crossed: u64,
) -> Vec<Check> {
    let total = outcomes.total(mix);
    let tallies = outcomes.by_operation(mix);
    let silent = tallies.iter().filter(|(_, t)| t.sent > 0 && t.answered == 0);
    let silent: Vec<&str> = silent.map(|(name, _)| &**name).collect();
    let revisions: Vec<_> =
        statuses.iter().filter_map(|(_, s)| s.as_ref().map(|s| s.revision)).collect();
    vec![
        Check {
            name: "conservation",
            holds: outcomes.is_conserved(mix),
            seen: format!(
                "{} sent = {} answered + {} not run + {} unknown",
                outcomes.sent, total.answered, total.not_run, total.unknown
            ),
        },
        Check {
            name: "at most once",
            holds: proof.repeated == 0,
            seen: format!(
                "of {} calls that may not be repeated {} ran more than once",
                proof.once, proof.repeated
            ),
        },
        Check {
            name: "true refusals",
            holds: proof.refused_run == 0,
            seen: format!(
                "of {} calls told as not run {} were run",
                total.not_run, proof.refused_run
            ),
        },
        Check {
            name: "own answers",
            holds: crossed == 0,
            seen: format!("{crossed} answers belonged to another call"),
        },
        Check {
            name: "preset everywhere",
            holds: switch.everywhere.is_some()
                && revisions.len() == statuses.len()
                && revisions.iter().all(|&r| r == switch.revision),
            seen: switch.to_string(),
        },
        Check {
            name: "every operation answered",
            holds: total.answered > 0 && silent.is_empty(),
            seen: format!("operations without an answer: [{}]", silent.join(" ")),
        },
    ]
}
