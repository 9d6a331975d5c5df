//! Runs the soak for one seed.

use crate::{
    added::{self, AddedCounts},
    callers::Caller,
    cluster::Cluster,
    crashes::{self, CrashCounts},
    departures,
    descriptors::{self, DescriptorError},
    faults, limits, logs, partitions, planned, restores, rests,
    stops::StopCounts,
    upgrades::{self, UpgradeCounts},
    workload::Profile,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time for gateways to discover each other and reach the platform.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);
/// Time after the last fault within which the service must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(9);
/// Fraction of calls that must be answered once the service has recovered.
const MIN_ANSWERED_SHARE: f64 = 0.9;
/// Mean pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(120);

/// Size and seed of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random faults and calls.
    pub seed: u64,
    /// Time during which new faults start.
    pub fault_time: Duration,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of targets of the main service.
    pub targets: usize,
    /// Number of callers.
    pub callers: usize,
    /// Second byte of the loopback addresses of the gateways. Concurrent runs need different
    /// values.
    pub network: u8,
    /// What the run puts the gateways through.
    pub profile: Profile,
    /// Whether gateways are cut off from all targets at times.
    pub partitions: bool,
    /// Whether the platform is restored from copies at times.
    pub restores: bool,
    /// Whether some calls crash each target that runs them.
    pub crashes: bool,
    /// Whether targets ask for rest at times.
    pub rests: bool,
    /// Whether targets say that they leave before the platform knows.
    pub departures: bool,
    /// Number of failure domains.
    pub domains: usize,
    /// Whether settings with one route more are published each second, which all gateways are asked
    /// for.
    pub adds_routes: bool,
    /// Binary of an older build, from which all gateways are started and then replaced by the present
    /// one.
    pub older: Option<PathBuf>,
    /// Number of file descriptors that this process may have open, most of those that its limit allows by
    /// default.
    pub descriptors: u64,
    /// Directory for logs and settings, with a subdirectory for each seed. A temporary directory is
    /// used if absent.
    pub output_dir: Option<PathBuf>,
}

impl Options {
    /// Returns the options of a run of the default size.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            fault_time: Duration::from_secs(12),
            gateways: 6,
            targets: 8,
            callers: 24,
            network: 77,
            profile: Profile::Mixed,
            partitions: true,
            restores: false,
            crashes: false,
            rests: true,
            departures: true,
            domains: 3,
            adds_routes: false,
            older: None,
            descriptors: descriptors::default_limit(),
            output_dir: None,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Broken guarantees, each with its details.
    pub violations: Vec<String>,
    /// Number of calls by result.
    pub counts: IndexMap<&'static str, u64>,
    /// Calls around planned stops.
    pub stops: StopCounts,
    /// Calls that crash targets, and the others beside them.
    pub crashes: CrashCounts,
    /// Rests that targets asked gateways for.
    pub rests: u64,
    /// Pairs of a target that left and a gateway that passed on that it does.
    pub departures: usize,
    /// Calls of routes that settings versions add.
    pub added: AddedCounts,
    /// Gateways that were replaced by the present build.
    pub upgrades: UpgradeCounts,
    /// Fraction of calls answered in the last seconds of the run.
    pub answered_share: f64,
}

/// Runs the soak once: starts the cluster, injects faults, waits for recovery and checks the
/// results.
///
/// # Errors
///
/// Returns an error if the run needs more file descriptors than this process may have open.
///
/// # Panics
///
/// Panics if the cluster or the output directory cannot be set up.
pub async fn run(options: &Options) -> Result<Report, DescriptorError> {
    let temp_dir = tempfile::tempdir().expect("failed to create a temporary directory");
    let parent = options.output_dir.clone().unwrap_or_else(|| temp_dir.path().to_owned());
    let output_dir = parent.join(format!("seed-{}", options.seed));
    if output_dir.exists() {
        std::fs::remove_dir_all(&output_dir)
            .expect("failed to remove the logs of an earlier run of the seed");
    }
    std::fs::create_dir_all(&output_dir).expect("failed to create the output directory");
    let cluster = Cluster::start(options, &output_dir).await;
    let result = tokio::select! {
        report = observe(&cluster, options) => Ok(report),
        error = descriptors::until_too_many(&cluster, options.descriptors) => Err(error),
    };
    cluster.shut_down().await;
    let mut report = result?;
    report.violations = cluster.checker.violations();
    Ok(report)
}

/// Injects faults, waits for recovery, and returns what was seen, without the violations.
async fn observe(cluster: &Arc<Cluster>, options: &Options) -> Report {
    sleep(STARTUP_TIME).await;
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    for _ in 0..options.callers {
        let caller = Caller::new(Arc::clone(cluster), rng.random());
        cluster.spawn(caller.run(CALL_PAUSE, cluster.stop.clone()));
    }
    let (fault_seed, planned_seed) = (rng.random(), rng.random());
    let end = Instant::now() + options.fault_time;
    let planned = planned::inject(cluster, options.profile, planned_seed, end);
    let limits_seed = rng.random();
    let limits = limits::inject(cluster, limits_seed, end);
    let partitions_seed = rng.random();
    let partitions = async {
        if options.partitions {
            partitions::inject(cluster, partitions_seed, end).await;
        }
    };
    let faults = async {
        if options.profile == Profile::Mixed {
            faults::inject(cluster, fault_seed, end).await;
        }
    };
    let restores_seed = rng.random();
    let restores = async {
        if options.restores {
            restores::inject(cluster, restores_seed, end).await;
        }
    };
    let crashes_seed = rng.random();
    let began = Instant::now();
    let crashes = async {
        if options.crashes {
            crashes::inject(cluster, crashes_seed, end).await;
        }
    };
    let rests = async {
        if options.rests {
            // Calls that are refused while all targets rest would hide those that crashes cost.
            let is_compared = options.crashes && options.profile == Profile::Planned;
            rests::inject(cluster, options.seed, end, !is_compared).await;
        }
    };
    let departures = async {
        if options.departures {
            departures::inject(cluster, options.seed, end).await;
        }
    };
    let upgrades_seed = rng.random();
    let upgrades = async {
        match options.older.is_some() {
            true => upgrades::inject(cluster, upgrades_seed, end, options.restores).await,
            false => UpgradeCounts::default(),
        }
    };
    let adding = async {
        if options.adds_routes {
            for number in 0..options.gateways {
                cluster.spawn(added::ask(Arc::clone(cluster), number, rng.random()));
            }
            added::inject(cluster, end).await;
        }
    };
    let asking = async { tokio::join!(rests, departures) };
    let (.., mut upgrades, (), _) = tokio::join!(
        faults, planned, limits, partitions, restores, crashes, upgrades, adding, asking
    );
    sleep(RECOVERY_TIME).await;
    let answered_share = cluster.checker.answered_share();
    if answered_share < MIN_ANSWERED_SHARE {
        cluster.checker.record_violation(format!(
            "recovery: {answered_share:.2} of the calls are answered after the last fault"
        ));
    }
    let mut crash_counts = CrashCounts::default();
    if options.crashes {
        // Unplanned faults, most of them while the calls that crash targets are known, make other calls
        // fail: targets that refuse every second one, for example.
        let has_other_faults = options.profile == Profile::Mixed;
        crash_counts = crashes::check_others(&cluster.checker, began, has_other_faults);
        crashes::check_proper_calls(cluster).await;
    }
    for gateway in &cluster.gateways {
        let exited = gateway.process.lock().as_mut().is_none_or(|p| !p.is_running());
        if exited {
            let number = gateway.number;
            cluster.checker.record_violation(format!("exit: gateway {number} exited unexpectedly"));
        }
    }
    let ended_calls = cluster.checker.ended_calls();
    let outcomes = logs::read_outcomes(cluster);
    logs::compare(&cluster.checker, &ended_calls, &outcomes);
    logs::check_quarantine(&cluster.checker, &outcomes);
    let stops = cluster.checker.check_stops(|id| outcomes.contains_key(&id));
    // The end of the processes cuts off the calls in flight.
    let counts = cluster.checker.counts();
    let (rests, departures) = cluster.checker.rest_counts();
    upgrades.left = (0..options.gateways).filter(|n| cluster.checker.is_older(*n)).count();
    let added = *cluster.added.lock();
    Report {
        violations: Vec::new(),
        counts,
        stops,
        crashes: crash_counts,
        added,
        upgrades,
        rests,
        departures,
        answered_share,
    }
}
