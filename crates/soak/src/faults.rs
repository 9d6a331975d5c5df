//! Faults that come in series and overlap, drawn from a seed.

use crate::{
    platform::Mode,
    targets::Manner,
    world::{Gateway, World},
};
use azuretally_policy::balance::TargetRecord;
use azuretally_standin::proxy::Faults;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Longest pause between the beginnings of two faults.
const PAUSE_MS: u64 = 900;
/// Range of the time that a fault lasts, in ms.
const LASTS_MS: (u64, u64) = (150, 3_000);
/// Targets that misbehave in the same way at a time.
const MOST_DISTURBED: usize = 5;
/// Targets of the main service that stay.
const LEAST_TARGETS: usize = 4;

/// Begins faults until `end`; returns when all of them are over.
pub(crate) async fn run(world: &Arc<World>, seed: u64, end: Instant) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut under_way = tokio::task::JoinSet::new();
    while Instant::now() < end {
        let lasts = Duration::from_millis(random.random_range(LASTS_MS.0..=LASTS_MS.1));
        let number = random.random_range(0..world.gateways.len());
        let world = Arc::clone(world);
        match random.random_range(0..12) {
            0 => drop(under_way.spawn(kill(world, number, lasts / 3))),
            1 => drop(under_way.spawn(planned_stop(world, number))),
            2 => drop(under_way.spawn(freeze(world, number, lasts))),
            3 | 4 => {
                let faults = link_faults(&mut random);
                let platform = random.random();
                drop(under_way.spawn(disturb_link(world, number, platform, faults, lasts)));
            }
            5 => {
                let mode = pick(&mut random, &[Mode::Busy, Mode::Silent, Mode::Slow, Mode::Reset]);
                drop(under_way.spawn(disturb_platform(world, mode, lasts)));
            }
            6..=9 => {
                let manners = [
                    Manner::Shed,
                    Manner::Slow,
                    Manner::Hang,
                    Manner::Lose,
                    Manner::Cut,
                    Manner::Mix,
                    Manner::Fail,
                ];
                let manner = pick(&mut random, &manners);
                for _ in 0..random.random_range(1..=MOST_DISTURBED) {
                    let draw = random.random_range(0..1_000);
                    let world = Arc::clone(&world);
                    drop(under_way.spawn(disturb_target(world, draw, manner, lasts)));
                }
            }
            10 => {
                let (draw, announced) = (random.random_range(0..1_000), random.random());
                drop(under_way.spawn(replace_target(world, draw, announced)));
            }
            _ => {
                world.publish_next();
                if random.random_bool(0.3) {
                    world.platform.forget();
                }
            }
        }
        sleep(Duration::from_millis(random.random_range(0..=PAUSE_MS))).await;
    }
    while under_way.join_next().await.is_some() {}
}

fn pick<Item>(random: &mut Pcg64Mcg, items: &[Item]) -> Item
where
    Item: Copy,
{
    items[random.random_range(0..items.len())]
}

fn link_faults(random: &mut Pcg64Mcg) -> Faults {
    let sound = Faults::default();
    pick(
        random,
        &[
            Faults { cut: true, ..sound },
            Faults { drop_forward: true, ..sound },
            Faults { drop_backward: true, ..sound },
            Faults { silence_open: true, ..sound },
            Faults { delay_ms: 120, ..sound },
        ],
    )
}

async fn kill(world: Arc<World>, number: usize, down: Duration) {
    let Some(mut child) = world.gateways[number].child.lock().take() else { return };
    world.ledger.fault(number);
    world.ledger.killed(number);
    child.resume();
    child.kill();
    sleep(down).await;
    world.start_gateway(number);
}

async fn planned_stop(world: Arc<World>, number: usize) {
    let gateway = &world.gateways[number];
    if world.ledger.is_stopping(number) || gateway.child.lock().is_none() {
        return;
    }
    world.ledger.stop(number, true);
    if let Some(child) = gateway.child.lock().as_ref() {
        child.terminate();
    }
    let deadline = Instant::now() + Gateway::grace();
    let runs =
        || gateway.child.lock().as_mut().is_some_and(azuretally_testsuite::Child::is_running);
    while runs() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    // A process that was frozen meanwhile could not end in time.
    if runs() && world.ledger.is_calm(number) {
        world.ledger.violation(format!("stop: gateway {number} did not end within its grace"));
    }
    let Some(mut child) = gateway.child.lock().take() else {
        // It was killed in the middle, and is started again by whoever did so.
        world.ledger.stop(number, false);
        return;
    };
    if child.is_running() {
        world.ledger.killed(number);
        child.resume();
        child.kill();
    }
    // Callers notice the end of their connections a moment later.
    sleep(Duration::from_millis(200)).await;
    world.ledger.stop(number, false);
    world.start_gateway(number);
}

async fn freeze(world: Arc<World>, number: usize, lasts: Duration) {
    let signal = |frozen: bool| {
        world.ledger.fault(number);
        if let Some(child) = world.gateways[number].child.lock().as_ref() {
            if frozen { child.suspend() } else { child.resume() }
        }
    };
    signal(true);
    let end = Instant::now() + lasts;
    while Instant::now() < end {
        world.ledger.fault(number);
        sleep(Duration::from_millis(100)).await;
    }
    signal(false);
}

async fn disturb_link(
    world: Arc<World>,
    number: usize,
    platform: bool,
    faults: Faults,
    lasts: Duration,
) {
    let gateway = &world.gateways[number];
    let link = if platform { &gateway.platform_link } else { &gateway.callers_link };
    let end = Instant::now() + lasts;
    link.set_faults(faults);
    while Instant::now() < end {
        world.ledger.fault(number);
        sleep(Duration::from_millis(100)).await;
    }
    // Connections that went silent stay so; their calls are excused for a while after.
    link.set_faults(Faults::default());
    world.ledger.fault(gateway.number);
}

async fn disturb_platform(world: Arc<World>, mode: Mode, lasts: Duration) {
    let end = Instant::now() + lasts;
    while Instant::now() < end {
        world.platform.set_mode(mode);
        sleep(Duration::from_millis(100)).await;
    }
    world.platform.set_mode(Mode::Sound);
}

async fn disturb_target(world: Arc<World>, draw: usize, manner: Manner, lasts: Duration) {
    let main = world.main_targets();
    let index = main[draw % main.len()];
    let target = Arc::clone(&world.targets.lock()[index].target);
    target.set_manner(manner);
    sleep(lasts).await;
    target.set_manner(Manner::Sound);
}

/// A target leaves and another one comes; with `announced` it drains first.
async fn replace_target(world: Arc<World>, draw: usize, announced: bool) {
    let main = world.main_targets();
    if main.len() <= LEAST_TARGETS {
        return;
    }
    let index = main[draw % main.len()];
    let (record, target, link) = {
        let mut targets = world.targets.lock();
        targets[index].record.leaving = true;
        let t = &targets[index];
        (t.record.clone(), Arc::clone(&t.target), Arc::clone(&t.link))
    };
    world.add_target(&record.service).await;
    if announced {
        world.platform.list(TargetRecord { leaving: true, ..record.clone() });
        sleep(Duration::from_millis(2_500)).await;
    }
    world.platform.remove(&record.name);
    sleep(Duration::from_millis(2_500)).await;
    target.stop.cancel();
    link.set_faults(Faults { cut: true, ..Faults::default() });
}
