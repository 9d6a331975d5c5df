//! One run of the soak.

use crate::{callers, faults, lines, world::World};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time that gateways get to find each other and the platform.
const START: Duration = Duration::from_millis(1_500);
/// Time after the last fault in which service has to be back.
const RECOVERY: Duration = Duration::from_secs(9);
/// Part of calls that has to be answered once service is back.
const RECOVERED: f64 = 0.9;
/// Mean pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(120);

/// Size and seed of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides faults and calls.
    pub seed: u64,
    /// Time in which faults begin.
    pub faults: Duration,
    /// Gateway processes.
    pub gateways: usize,
    /// Targets of the main service.
    pub targets: usize,
    /// Callers.
    pub callers: usize,
    /// Second byte of the loopback addresses of the run.
    pub network: u8,
    /// Where logs and settings go, in a folder for each seed; a temporary one when absent.
    pub folder: Option<PathBuf>,
}

impl Options {
    /// A run of the usual size.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            faults: Duration::from_secs(12),
            gateways: 6,
            targets: 8,
            callers: 24,
            network: 77,
            folder: None,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Calls by how they ended.
    pub counts: IndexMap<&'static str, u64>,
    /// Part of calls answered at the end.
    pub recovered: f64,
}

/// Runs the soak once.
pub async fn run(options: &Options) -> Outcome {
    let temporary = tempfile::tempdir().expect("a temporary folder");
    let folder = options.folder.clone().unwrap_or_else(|| temporary.path().to_owned());
    let folder = folder.join(format!("seed-{}", options.seed));
    if folder.exists() {
        std::fs::remove_dir_all(&folder).expect("logs of an earlier run of the seed are removed");
    }
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let world = World::start(options, &folder).await;
    sleep(START).await;
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    for _ in 0..options.callers {
        let stop = world.stop.clone();
        world.spawn(callers::call(Arc::clone(&world), random.random(), PAUSE, stop));
    }
    faults::run(&world, random.random(), Instant::now() + options.faults).await;
    sleep(RECOVERY).await;
    let recovered = world.ledger.answered_lately();
    if recovered < RECOVERED {
        world.ledger.violation(format!("recovery: {recovered:.2} of the calls are answered"));
    }
    for gateway in &world.gateways {
        let ended = gateway.child.lock().as_mut().is_none_or(|child| !child.is_running());
        if ended {
            let number = gateway.number;
            world.ledger.violation(format!("exit: gateway {number} ended by itself"));
        }
    }
    lines::check(&world);
    world.close().await;
    let (violations, counts) = world.ledger.close();
    Outcome { violations, counts, recovered }
}
