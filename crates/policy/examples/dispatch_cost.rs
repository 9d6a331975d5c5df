//! Measures the cost of one dispatcher event with many targets and waiting calls.
//!
//! `cargo run --release -p azuretally-policy --example dispatch_cost`

use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, Call, CallId, ClassConfig, Dispatcher, Event, LoadReport, OperationConfig,
        PeerSlots, ServiceConfig, TargetInfo,
    },
};
use azuretally_settings::BalancingPolicy;
use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

/// Number of events per measurement.
const EVENTS: u32 = 200_000;
/// Service time of each call.
const SERVICE: Duration = Duration::from_millis(10);

fn config(choice: BalancingPolicy) -> ServiceConfig {
    let class = |name: &str, floor| ClassConfig {
        name: name.into(),
        timeout: Duration::from_secs(10),
        floor,
        starvation_limit: Some(Duration::from_millis(500)),
    };
    let operation = |name: &str, class| OperationConfig {
        name: name.into(),
        class,
        idempotent: true,
        worth: 1.0,
    };
    ServiceConfig {
        revision: 1,
        service: "till".into(),
        host: "entry-0".into(),
        choice,
        queue_limit: 20_000,
        connections: 240,
        max_rest: Duration::from_secs(30),
        retry_ratio: 0.1,
        hedge_ratio: 0.05,
        probe_share: 0.001,
        probe_cost: Duration::from_millis(6),
        classes: vec![class("urgent", 0.0), class("patient", 0.05)],
        operations: vec![operation("check", 0), operation("pull", 1)],
    }
}

/// Returns the mean time of handling one event and of computing the next wakeup, in ns.
fn measure(choice: BalancingPolicy, targets: usize, waiting: u64) -> (f64, f64) {
    let mut dispatcher = Dispatcher::new(Arc::new(config(choice)), 1);
    let mut actions = Vec::with_capacity(64);
    let mut now = Timestamp::from_millis(1_000);
    let infos = (0..targets).map(|n| TargetInfo {
        name: format!("target-{n}").into(),
        failure_domain: "domain".into(),
        slots: 2,
        incarnation: None,
        leaving: false,
        reported: false,
    });
    dispatcher.handle(now, Event::TargetsChanged(infos.collect()), &mut actions);
    let peers = vec![PeerSlots { host: "entry-0".into(), free: 0 }];
    dispatcher.handle(now, Event::PeersChanged(peers), &mut actions);
    let callers: Vec<Arc<str>> = (0..200).map(|n| format!("caller-{n}").into()).collect();
    let mut running: VecDeque<(CallId, Arc<str>)> = VecDeque::new();
    let mut next_id = 0;
    let step = SERVICE / (targets as u32 * 2) / 2;
    let (mut handle_time, mut wakeup_time) = (Duration::ZERO, Duration::ZERO);
    for event in 0..EVENTS {
        now = now + step;
        let arrive = running.is_empty()
            || dispatcher.waiting() < waiting as usize
            || (event % 2 == 0 && dispatcher.waiting() <= waiting as usize);
        let event = if arrive {
            next_id += 1;
            Event::Arrived(Call {
                id: CallId(next_id),
                caller: Arc::clone(&callers[(next_id * 7 % 200) as usize]),
                operation: (next_id % 4 == 0).into(),
                deadline: now + Duration::from_secs(3_600),
                relayable: true,
                replayable: true,
            })
        } else {
            let Some((call, target)) = running.pop_front() else { continue };
            let report = Some(LoadReport { busy: 1, draining: false });
            Event::Answered { call, target, ok: true, elapsed: SERVICE, report }
        };
        actions.clear();
        let start = Instant::now();
        dispatcher.handle(now, event, &mut actions);
        handle_time += start.elapsed();
        let start = Instant::now();
        std::hint::black_box(dispatcher.next_wakeup());
        wakeup_time += start.elapsed();
        for action in actions.drain(..) {
            if let Action::Dispatch { call, target, .. } = action {
                running.push_back((call, target));
            }
        }
    }
    let mean = |time: Duration| time.as_nanos() as f64 / f64::from(EVENTS);
    (mean(handle_time), mean(wakeup_time))
}

fn main() {
    let clock_ns = {
        let start = Instant::now();
        let mut sum = Duration::ZERO;
        for _ in 0..EVENTS {
            sum += Instant::now().elapsed();
        }
        std::hint::black_box(start.elapsed());
        sum.as_nanos() as f64 / f64::from(EVENTS)
    };
    println!("clock: {clock_ns:.0} ns per reading, subtracted below");
    let sizes = [(17, 0), (17, 100), (17, 10_000), (200, 0), (200, 10_000)];
    let late_binding =
        sizes.map(|(targets, waiting)| (BalancingPolicy::OwnedShared, targets, waiting));
    let early_binding =
        [(BalancingPolicy::LeastInFlight, 17, 0), (BalancingPolicy::PowerOfTwo, 17, 0)];
    for (choice, targets, waiting) in late_binding.into_iter().chain(early_binding) {
        let (event, wakeup_ns) = measure(choice, targets, waiting);
        let (event, wakeup_ns) = (event - clock_ns, wakeup_ns - clock_ns);
        println!(
            "{choice:?}: {targets} targets, {waiting} waiting: {event:.0} ns per event, \
             {wakeup_ns:.0} ns per wakeup time"
        );
    }
}
