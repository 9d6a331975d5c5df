//! Injects a seeded random sequence of faults, which may overlap.

use crate::{
    cluster::Cluster,
    planned::{StopExtras, stop_gateway},
    platform::PlatformMode,
    targets::TargetMode,
};
use azuretally_policy::balance::TargetRecord;
use azuretally_standin::proxy::Faults;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Longest pause between the starts of two faults, in ms.
const MAX_PAUSE_MS: u64 = 900;
/// Shortest and longest duration of a fault, in ms.
const DURATION_RANGE_MS: (u64, u64) = (150, 3_000);
/// Most targets that one fault affects.
const MAX_AFFECTED_TARGETS: usize = 5;
/// No target of the main service is replaced while it has this many or fewer.
const MIN_MAIN_TARGETS: usize = 4;

/// Time for which a target goes on serving after it was listed as leaving or gone.
pub(crate) const LEAVING_TIME: Duration = Duration::from_millis(2_500);

/// Starts faults until `end` and returns once all of them are over.
pub(crate) async fn inject(cluster: &Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = tokio::task::JoinSet::new();
    while Instant::now() < end {
        let duration =
            Duration::from_millis(rng.random_range(DURATION_RANGE_MS.0..=DURATION_RANGE_MS.1));
        let number = rng.random_range(0..cluster.gateways.len());
        let cluster = Arc::clone(cluster);
        match rng.random_range(0..12) {
            0 => drop(active.spawn(kill_gateway(cluster, number, duration / 3))),
            1 => drop(active.spawn(stop_gateway(cluster, number, StopExtras::default()))),
            2 => drop(active.spawn(suspend_gateway(cluster, number, duration))),
            3 | 4 => {
                let faults = link_faults(&mut rng);
                let is_platform_link = rng.random();
                drop(active.spawn(impair_link(
                    cluster,
                    number,
                    is_platform_link,
                    faults,
                    duration,
                )));
            }
            5 => {
                let mode = pick(
                    &mut rng,
                    &[
                        PlatformMode::Busy,
                        PlatformMode::Silent,
                        PlatformMode::Slow,
                        PlatformMode::Reset,
                    ],
                );
                drop(active.spawn(degrade_platform(cluster, mode, duration)));
            }
            6..=9 => {
                let modes = [
                    TargetMode::Shed,
                    TargetMode::Slow,
                    TargetMode::Hang,
                    TargetMode::Disconnect,
                    TargetMode::Truncate,
                    TargetMode::WrongId,
                    TargetMode::Fail,
                ];
                let mode = pick(&mut rng, &modes);
                for _ in 0..rng.random_range(1..=MAX_AFFECTED_TARGETS) {
                    let random_index = rng.random_range(0..1_000);
                    let cluster = Arc::clone(&cluster);
                    drop(active.spawn(degrade_target(cluster, random_index, mode, duration)));
                }
            }
            10 => {
                let (random_index, announced) = (rng.random_range(0..1_000), rng.random());
                drop(active.spawn(replace_target(cluster, random_index, announced, LEAVING_TIME)));
            }
            _ => {
                cluster.publish_next();
                if rng.random_bool(0.3) {
                    cluster.platform.discard_history();
                }
            }
        }
        sleep(Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS))).await;
    }
    while active.join_next().await.is_some() {}
}

fn pick<Item>(rng: &mut Pcg64Mcg, items: &[Item]) -> Item
where
    Item: Copy,
{
    items[rng.random_range(0..items.len())]
}

fn link_faults(rng: &mut Pcg64Mcg) -> Faults {
    let no_faults = Faults::default();
    pick(
        rng,
        &[
            Faults { cut: true, ..no_faults },
            Faults { drop_forward: true, ..no_faults },
            Faults { drop_backward: true, ..no_faults },
            Faults { silence_open: true, ..no_faults },
            Faults { delay_ms: 120, ..no_faults },
        ],
    )
}

/// Kills a gateway and restarts it after `downtime`.
pub(crate) async fn kill_gateway(cluster: Arc<Cluster>, number: usize, downtime: Duration) {
    let Some(mut process) = cluster.gateways[number].process.lock().take() else { return };
    cluster.checker.record_fault(number);
    cluster.checker.record_kill(number);
    process.kill();
    sleep(downtime).await;
    cluster.start_gateway(number);
}

/// Suspends a gateway with SIGSTOP for `duration`.
pub(crate) async fn suspend_gateway(cluster: Arc<Cluster>, number: usize, duration: Duration) {
    let set_suspended = |suspended: bool| {
        cluster.checker.record_fault(number);
        cluster.checker.record_freeze(number);
        if let Some(process) = cluster.gateways[number].process.lock().as_ref() {
            process.signal(if suspended { Signal::STOP } else { Signal::CONT });
        }
    };
    set_suspended(true);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        cluster.checker.record_fault(number);
        sleep(Duration::from_millis(100)).await;
    }
    set_suspended(false);
}

/// Applies `faults` for `duration` to the callers' link of a gateway or, with `is_platform_link`,
/// to its link to the platform.
async fn impair_link(
    cluster: Arc<Cluster>,
    number: usize,
    is_platform_link: bool,
    faults: Faults,
    duration: Duration,
) {
    let gateway = &cluster.gateways[number];
    let link = if is_platform_link { &gateway.platform_link } else { &gateway.callers_link };
    let end = Instant::now() + duration;
    link.set_faults(faults);
    while Instant::now() < end {
        cluster.checker.record_fault(number);
        sleep(Duration::from_millis(100)).await;
    }
    // Connections that the fault silenced stay silent after it ends, so the time bounds must not
    // apply again at once.
    link.set_faults(Faults::default());
    cluster.checker.record_fault(gateway.number);
}

/// Sets the mode of the platform for `duration`. Repeats this every 100 ms, since `set_mode`
/// records an outage only for the time of the call.
async fn degrade_platform(cluster: Arc<Cluster>, mode: PlatformMode, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        cluster.platform.set_mode(mode);
        sleep(Duration::from_millis(100)).await;
    }
    cluster.platform.set_mode(PlatformMode::Healthy);
}

/// Sets the mode of a random target of the main service for `duration`.
async fn degrade_target(
    cluster: Arc<Cluster>,
    random_index: usize,
    mode: TargetMode,
    duration: Duration,
) {
    let main = cluster.main_targets();
    let index = main[random_index % main.len()];
    let target = Arc::clone(&cluster.targets.lock()[index].target);
    target.set_mode(mode);
    sleep(duration).await;
    target.set_mode(TargetMode::Healthy);
}

/// Replaces a random target of the main service unless too few are left. With `announced`, the
/// platform first lists it as leaving, so that gateways drain it. It goes on serving for `rest`
/// after its removal.
pub(crate) async fn replace_target(
    cluster: Arc<Cluster>,
    random_index: usize,
    announced: bool,
    rest: Duration,
) {
    let main = cluster.main_targets();
    if main.len() <= MIN_MAIN_TARGETS {
        return;
    }
    let index = main[random_index % main.len()];
    let (record, target, link) = {
        let mut targets = cluster.targets.lock();
        targets[index].record.leaving = true;
        let old = &targets[index];
        (old.record.clone(), Arc::clone(&old.target), Arc::clone(&old.link))
    };
    cluster.add_target(&record.service).await;
    if announced {
        cluster.platform.put_target(TargetRecord { leaving: true, ..record.clone() });
        sleep(LEAVING_TIME).await;
    }
    cluster.platform.remove_target(&record.name);
    sleep(rest).await;
    target.stop.cancel();
    link.set_faults(Faults { cut: true, ..Faults::default() });
}
