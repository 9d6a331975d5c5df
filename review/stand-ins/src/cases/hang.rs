//! Backends fail a part of their requests: they send a part of a long answer and then no more.

use crate::{
    backend::{Action, Behaviour},
    consumer::{Traffic, start},
    deployment::{Deployment, Route},
};
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Time in which the backends fail two in five of their requests.
const GREY: (f64, f64) = (10.0, 16.5);
const END: f64 = 30.0;
const ROUTE_TIMEOUT: f64 = 2.0;
/// How long consumers wait.
const TIMEOUT: Duration = Duration::from_millis(8_000);

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let zones = ["a", "b"];
    let deployment = Arc::new(Deployment::new(record, &zones, 2));
    let route = Route {
        name: "lists",
        prefix: "/lists/",
        kind: "safe",
        timeout_ms: (ROUTE_TIMEOUT * 1_000.0) as u32,
        latency_ms: 1_000,
        service: "office",
    };
    deployment.publish(1, &[route], &["office"]);
    let record = Arc::clone(&deployment.record);
    let count = AtomicU64::new(0);
    let behaviour: Behaviour = Arc::new(move |_, _| {
        let is_grey = has_trouble && (GREY.0..GREY.1).contains(&record.now());
        match is_grey && count.fetch_add(1, Ordering::SeqCst) % 5 < 2 {
            true => Action::HangMidAnswer,
            false => Action::Work(Duration::from_millis(200)),
        }
    });
    for number in 0..5 {
        for zone in zones {
            deployment.add_backend(
                &format!("i-{zone}-{number}"),
                "office",
                zone,
                3,
                true,
                &behaviour,
            );
        }
    }
    deployment.start_gateways();
    deployment.wait_until(4.0);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let callers = zones.map(|zone| {
        let list = move |n: u64| ("GET", format!("/lists/{zone}-{n}"));
        start(
            &deployment,
            Traffic { zone, per_s: 6.0, end: END, timeout: TIMEOUT },
            list,
            &outcomes,
        )
    });
    for caller in callers {
        let _ = caller.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let lasting = outcomes.iter().filter(|o| o.ended - o.at > ROUTE_TIMEOUT).count();
    let late = outcomes.iter().filter(|o| o.ended - o.at > ROUTE_TIMEOUT + 0.5).count();
    let line = format!(
        "CONFIG: of {} requests, {lasting} unanswered at the timeout of the route, {late} of them half a second later",
        outcomes.len()
    );
    deployment.record.line(&line);
    println!("{line}");
    let is_alive = !deployment.gateways.iter().any(|g| g.has_ended());
    deployment.end();
    is_alive.then_some(late < 8 || late * 4 <= lasting)
}
