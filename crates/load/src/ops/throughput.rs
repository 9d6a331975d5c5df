//! What one entry costs a call: processor time, and time added to the same load sent directly.

use super::{callers::Callers, direct::Direct, direct::Shape, drive, fleet::Fleet};
use crate::{
    core::{
        LoadError,
        deployment::{Deployment, TargetGroup},
        mix::Mix,
        schedule::Plan,
        score::Tally,
    },
    util::table,
};
use error_stack::Report;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Settings: one service, one target that answers at once.
const DOCUMENT: &str = include_str!("../../settings/throughput.toml");
/// Calls before each measurement, so that connections are open.
const WARM_UP: Duration = Duration::from_millis(500);
/// Head of the table; latencies in ms.
const HEAD: [&str; 10] = [
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

/// How the measurement is run.
#[derive(Clone, Debug)]
pub struct ThroughputOptions {
    /// Length of the load at each rate.
    pub length: Duration,
    /// Calls per second, one after the other.
    pub rates: Vec<f64>,
    /// Seed of the load.
    pub seed: u64,
    /// Worker threads of the entry's request path.
    pub threads: u16,
}

/// Measures at each rate and prints the table.
///
/// # Errors
///
/// [`LoadError`] when the processes cannot be started or the load not be sent.
pub async fn run(options: &ThroughputOptions) -> Result<(), Report<LoadError>> {
    let mut deployment = Deployment::new("throughput.toml", DOCUMENT.to_owned())?;
    deployment.entries = 1;
    deployment.domains = 1;
    deployment.threads = options.threads;
    let settings = ["--service-ms", "0", "--connect-ms", "0", "--fixed", "--connections", "10000"];
    deployment.groups = vec![TargetGroup {
        service: Arc::from("null"),
        count: 1,
        slots: 1_000,
        options: settings.iter().map(|s| (*s).to_owned()).collect(),
    }];
    let fleet = Fleet::start(&deployment, 0).await?;
    let mix = Mix::new(&deployment.published, &[("null.call".to_owned(), 1.0)])?;
    let shape = Shape { mix, seed: options.seed, is_named: false };
    let mut rows = Vec::new();
    for &rate in &options.rates {
        rows.push(measure(options, &fleet, &shape, rate).await?);
    }
    println!("{}", table::lay_out(&HEAD, &rows));
    println!("entry: {:.0} MiB resident", fleet.entries[0].process.resident_mib());
    let mut by_name: BTreeMap<String, f64> = BTreeMap::new();
    for (name, cpu) in fleet.entries[0].process.threads() {
        *by_name.entry(name).or_default() += cpu;
    }
    for (name, cpu) in by_name.iter().filter(|(_, cpu)| **cpu > 0.0) {
        println!("entry: threads `{name}` used {cpu:.2} s");
    }
    Ok(())
}

async fn measure(
    options: &ThroughputOptions,
    fleet: &Fleet,
    shape: &Shape,
    rate: f64,
) -> Result<Vec<String>, Report<LoadError>> {
    let mix = &shape.mix;
    let plan = Plan::steady(rate, options.length, options.seed);
    let warm = Plan::steady(rate, WARM_UP, options.seed + 1);

    let direct = Arc::new(Direct::new(shape.clone(), fleet.groups[0].addresses[0]));
    drive::drive(Arc::clone(&direct), warm.draw(mix)).await?;
    let straight = drive::drive(Arc::clone(&direct), plan.draw(mix)).await?.total(mix);
    direct.close().await;

    let callers = Callers::new(shape.clone(), plan.callers, fleet.directions());
    let callers = Arc::new(callers);
    callers.ask_all().await;
    drive::drive(Arc::clone(&callers), warm.draw(mix)).await?;
    let cpu = fleet.cpu_s();
    let through = drive::drive(Arc::clone(&callers), plan.draw(mix)).await?.total(mix);
    let cpu = fleet.cpu_s() - cpu;
    callers.close().await;
    Ok(row(rate, cpu, &straight, &through))
}

fn row(rate: f64, cpu_s: f64, straight: &Tally, through: &Tally) -> Vec<String> {
    let per_call = cpu_s / through.sent.max(1) as f64;
    let (a, b) = (straight.latency, through.latency);
    vec![
        format!("{rate:.0}"),
        format!("{:.2}%", 100.0 * through.answered as f64 / through.sent.max(1) as f64),
        format!("{:.1}", 1e6 * per_call),
        format!("{:.0}", 1.0 / per_call.max(f64::MIN_POSITIVE)),
        format!("{:.3}", a.p50),
        format!("{:.3}", a.p99),
        format!("{:.3}", b.p50),
        format!("{:.3}", b.p99),
        format!("{:.3}", b.p50 - a.p50),
        format!("{:.3}", b.p99 - a.p99),
    ]
}
