//! Overhead of one entry per call: CPU time, and latency added to the same load sent directly.

use super::{callers::Callers, direct::Direct, direct::RequestTemplate, fleet::Fleet, open_loop};
use crate::{
    core::{
        LoadError,
        deployment::{Deployment, TargetGroup},
        mix::Mix,
        schedule::Plan,
        stats::CallStats,
    },
    util::table,
};
use error_stack::Report;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Settings document with one service, whose target answers immediately.
const SETTINGS_DOCUMENT: &str = include_str!("../../settings/throughput.toml");
/// Duration of the load before each measurement, which opens the connections.
const WARM_UP: Duration = Duration::from_millis(500);
/// Column titles of the table. Latencies are in ms.
const HEADER: [&str; 10] = [
    "calls/s",
    "answered",
    "entry us/call",
    "calls/s per core",
    "direct p50",
    "direct p99",
    "entry p50",
    "entry p99",
    "added p50",
    "added p99",
];

/// Options of the command.
#[derive(Clone, Debug)]
pub struct ThroughputOptions {
    /// Duration of the load at each rate.
    pub duration: Duration,
    /// Rates in calls per second, measured one after the other.
    pub rates: Vec<f64>,
    /// Random seed of the load.
    pub seed: u64,
    /// Worker threads for calls in the entry.
    pub threads: u16,
}

/// Measures the overhead at each rate and prints the table.
///
/// # Errors
///
/// [`LoadError`] if the processes cannot be started or the load cannot be sent.
pub async fn run(options: &ThroughputOptions) -> Result<(), Report<LoadError>> {
    let mut deployment = Deployment::new("throughput.toml", SETTINGS_DOCUMENT.to_owned())?;
    deployment.entry_count = 1;
    deployment.domain_count = 1;
    deployment.call_threads = options.threads;
    let target_options =
        ["--service-ms", "0", "--connect-ms", "0", "--fixed", "--connections", "10000"];
    deployment.target_groups = vec![TargetGroup {
        service: Arc::from("null"),
        count: 1,
        slots: 1_000,
        options: target_options.iter().map(|s| (*s).to_owned()).collect(),
    }];
    let fleet = Fleet::start(&deployment, 0).await?;
    let mix = Mix::new(&deployment.published, &[("null.call".to_owned(), 1.0)])?;
    let template = RequestTemplate { mix, seed: options.seed, has_id: false };
    let mut rows = Vec::new();
    for &rate in &options.rates {
        rows.push(measure(options, &fleet, &template, rate).await?);
    }
    println!("{}", table::render(&HEADER, &rows));
    println!("entry: {:.0} MiB resident", fleet.entries[0].process.resident_mib());
    let mut by_name: BTreeMap<String, f64> = BTreeMap::new();
    for (name, cpu) in fleet.entries[0].process.thread_cpu_s() {
        *by_name.entry(name).or_default() += cpu;
    }
    for (name, cpu) in by_name.iter().filter(|(_, cpu)| **cpu > 0.0) {
        println!("entry: threads `{name}` used {cpu:.2} s");
    }
    Ok(())
}

/// Measures the overhead at one rate and returns the row of the table.
async fn measure(
    options: &ThroughputOptions,
    fleet: &Fleet,
    template: &RequestTemplate,
    rate: f64,
) -> Result<Vec<String>, Report<LoadError>> {
    let mix = &template.mix;
    let plan = Plan::constant_rate(rate, options.duration, options.seed);
    let warm_up_plan = Plan::constant_rate(rate, WARM_UP, options.seed + 1);

    let direct = Arc::new(Direct::new(template.clone(), fleet.groups[0].addresses[0]));
    open_loop::run(Arc::clone(&direct), warm_up_plan.generate_calls(mix)).await?;
    let direct_stats =
        open_loop::run(Arc::clone(&direct), plan.generate_calls(mix)).await?.total(mix);
    direct.close().await;

    let callers = Callers::new(template.clone(), plan.callers, fleet.directions());
    let callers = Arc::new(callers);
    callers.prefetch_directions().await;
    open_loop::run(Arc::clone(&callers), warm_up_plan.generate_calls(mix)).await?;
    let cpu = fleet.cpu_s();
    let entry_stats =
        open_loop::run(Arc::clone(&callers), plan.generate_calls(mix)).await?.total(mix);
    let cpu = fleet.cpu_s() - cpu;
    callers.close().await;
    Ok(row(rate, cpu, &direct_stats, &entry_stats))
}

fn row(rate: f64, cpu_s: f64, direct_stats: &CallStats, entry_stats: &CallStats) -> Vec<String> {
    let per_call = cpu_s / entry_stats.sent.max(1) as f64;
    let (direct, entry) = (direct_stats.latency, entry_stats.latency);
    vec![
        format!("{rate:.0}"),
        format!("{:.2}%", 100.0 * entry_stats.answered as f64 / entry_stats.sent.max(1) as f64),
        format!("{:.1}", 1e6 * per_call),
        format!("{:.0}", 1.0 / per_call.max(f64::MIN_POSITIVE)),
        format!("{:.3}", direct.p50),
        format!("{:.3}", direct.p99),
        format!("{:.3}", entry.p50),
        format!("{:.3}", entry.p99),
        format!("{:.3}", entry.p50 - direct.p50),
        format!("{:.3}", entry.p99 - direct.p99),
    ]
}
