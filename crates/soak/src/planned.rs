//! Injects a seeded random sequence of planned work: stops in series and in overlap, restarts,
//! hangups, settings and replaced targets.

use crate::{
    cluster::{Cluster, Gateway},
    faults::{LEAVING_TIME, replace_target, suspend_gateway},
    stops::Stop,
    workload::Profile,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::{
    ops::RangeInclusive,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Pauses between the starts of two pieces of work, in ms.
const PLANNED_PAUSES_MS: RangeInclusive<u64> = 100..=1_500;
const MIXED_PAUSES_MS: RangeInclusive<u64> = 1_500..=4_000;
/// Time within which the stops of a series begin, in ms.
const SERIES_MS: u64 = 2_000;
/// At most one gateway in this many stops in a series.
const SERIES_DIVISOR: usize = 4;
/// At most one gateway in this many is stopping at any time.
const STOPPING_DIVISOR: usize = 2;
/// Longest time from the start of a gateway to the SIGTERM of a stop that follows at once, in ms.
const MAX_RESTOP_MS: u64 = 500;
/// Longest freeze during a stop, in ms.
const MAX_FREEZE_MS: u64 = 1_500;
/// Interval at which a stopping process is checked.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the exit of a process to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// What else happens to a gateway around its planned stop. Times of events are from SIGTERM on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StopExtras {
    /// Time and number of a further signal.
    signal: Option<(Duration, Signal)>,
    /// Time at which the settings file is rewritten and SIGHUP sent.
    hangup: Option<Duration>,
    /// Time and duration of a freeze, which is an unplanned fault.
    freeze: Option<(Duration, Duration)>,
    /// Time from the start of the next process to its planned stop.
    restop: Option<Duration>,
}

impl StopExtras {
    fn random(rng: &mut Pcg64Mcg, profile: Profile, grace: Duration) -> Self {
        let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
        let mut ms = |share, max| {
            let duration = Duration::from_millis(rng.random_range(0..=max));
            rng.random_bool(share).then_some(duration)
        };
        let (second, hangup) = (ms(0.3, grace_ms / 2), ms(0.3, grace_ms / 2));
        let restop = ms(0.2, MAX_RESTOP_MS);
        let freeze = ms(0.3, grace_ms / 2).zip(ms(1.0, MAX_FREEZE_MS));
        let signal = if rng.random() { Signal::TERM } else { Signal::INT };
        Self {
            signal: second.map(|at| (at, signal)),
            hangup,
            freeze: freeze.filter(|_| profile == Profile::Mixed),
            restop,
        }
    }
}

/// Starts planned work until `end` and returns once all of it is done.
pub(crate) async fn inject(cluster: &Arc<Cluster>, profile: Profile, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut active = JoinSet::new();
    let pauses_ms = match profile {
        Profile::Mixed => MIXED_PAUSES_MS,
        Profile::Planned => PLANNED_PAUSES_MS,
    };
    while Instant::now() < end {
        match rng.random_range(0..6) {
            0..=2 => start_series(cluster, profile, &mut rng, &mut active),
            3 => {
                let number = rng.random_range(0..cluster.gateways.len());
                hang_up(&cluster.gateways[number]);
            }
            4 => {
                let (random_index, announced) = (rng.random_range(0..1_000), rng.random());
                let cluster = Arc::clone(cluster);
                active.spawn(replace_target(cluster, random_index, announced, LEAVING_TIME));
            }
            _ => cluster.publish_next(),
        }
        sleep(Duration::from_millis(rng.random_range(pauses_ms.clone()))).await;
    }
    while active.join_next().await.is_some() {}
}

/// Stops several gateways at once or one shortly after another.
fn start_series(
    cluster: &Arc<Cluster>,
    profile: Profile,
    rng: &mut Pcg64Mcg,
    active: &mut JoinSet<()>,
) {
    let size = rng.random_range(1..=cluster.gateways.len().div_ceil(SERIES_DIVISOR));
    let length_ms = if rng.random() { SERIES_MS } else { 0 };
    for _ in 0..size {
        let extras = StopExtras::random(rng, profile, cluster.workload.grace);
        let delay = Duration::from_millis(rng.random_range(0..=length_ms));
        let random_index = rng.random_range(0..1_000);
        let cluster = Arc::clone(cluster);
        active.spawn(async move {
            sleep(delay).await;
            let limit = cluster.gateways.len() / STOPPING_DIVISOR;
            if cluster.checker.stopping_count() < limit
                && let Some(number) = used_gateway(&cluster, random_index)
            {
                stop_gateway(cluster, number, extras).await;
            }
        });
    }
}

/// Returns a gateway that is not stopping and holds at least as many connections of callers as the
/// average gateway in use.
fn used_gateway(cluster: &Cluster, random_index: usize) -> Option<usize> {
    let connections = |gateway: &&Gateway| gateway.connections.load(Ordering::SeqCst);
    let is_used = |g: &&Gateway| connections(g) > 0 && !cluster.checker.is_stopping(g.number);
    let used: Vec<&Gateway> = cluster.gateways.iter().filter(is_used).collect();
    let sum: usize = used.iter().map(connections).sum();
    let busy: Vec<_> = used.iter().filter(|g| connections(g) * used.len() >= sum).collect();
    let index = random_index.checked_rem(busy.len())?;
    busy.get(index).map(|g| g.number)
}

/// Rewrites the settings file of a gateway and sends SIGHUP.
fn hang_up(gateway: &Gateway) {
    gateway.write_settings();
    send(gateway, Signal::HUP);
}

fn send(gateway: &Gateway, signal: Signal) {
    if let Some(process) = gateway.process.lock().as_mut()
        && process.is_running()
    {
        process.signal(signal);
    }
}

/// Stops a gateway and starts it again, twice if `extras` say so.
pub(crate) async fn stop_gateway(cluster: Arc<Cluster>, number: usize, extras: StopExtras) {
    tokio::join!(stop_once(&cluster, number), disturb(&cluster, number, extras));
    if let Some(delay) = extras.restop {
        sleep(delay).await;
        stop_once(&cluster, number).await;
    }
}

/// Carries out `extras` during the stop of a gateway.
async fn disturb(cluster: &Arc<Cluster>, number: usize, extras: StopExtras) {
    let gateway = &cluster.gateways[number];
    let incarnation = gateway.incarnation.load(Ordering::SeqCst);
    let is_same = || gateway.incarnation.load(Ordering::SeqCst) == incarnation;
    let further_signal = async {
        if let Some((at, signal)) = extras.signal {
            sleep(at).await;
            if is_same() {
                send(gateway, signal);
            }
        }
    };
    let hangup = async {
        if let Some(at) = extras.hangup {
            sleep(at).await;
            hang_up(gateway);
        }
    };
    let freeze = async {
        if let Some((at, duration)) = extras.freeze {
            sleep(at).await;
            suspend_gateway(Arc::clone(cluster), number, duration).await;
        }
    };
    tokio::join!(further_signal, hangup, freeze);
}

/// Stops a gateway with SIGTERM and checks that it exits within its grace period. Kills it if it
/// does not, and starts it again.
async fn stop_once(cluster: &Cluster, number: usize) {
    let gateway = &cluster.gateways[number];
    if cluster.checker.is_stopping(number) || gateway.process.lock().is_none() {
        return;
    }
    cluster.checker.record_stop(Stop {
        gateway: number,
        incarnation: gateway.incarnation.load(Ordering::SeqCst),
        began: Instant::now(),
        grace: cluster.workload.grace,
        connections: gateway.connections.load(Ordering::SeqCst),
    });
    send(gateway, Signal::TERM);
    let deadline = Instant::now() + cluster.workload.grace;
    let is_running_now = || gateway.process.lock().as_mut().is_some_and(|p| p.is_running());
    while is_running_now() && Instant::now() < deadline {
        sleep(EXIT_CHECK_INTERVAL).await;
    }
    // A process that was suspended in the meantime cannot exit in time, so it is not reported.
    if is_running_now() && cluster.checker.is_settled(number) {
        cluster.checker.record_violation(format!(
            "stop: gateway {number} did not exit within its grace period"
        ));
    }
    let Some(mut process) = gateway.process.lock().take() else {
        // A concurrent `kill_gateway` took the process, and restarts it.
        cluster.checker.record_stop_end(number);
        return;
    };
    if process.is_running() {
        cluster.checker.record_kill(number);
        process.kill();
    }
    sleep(RESTART_DELAY).await;
    cluster.checker.record_stop_end(number);
    cluster.start_gateway(number);
}
