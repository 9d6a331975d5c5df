//! The backends of a service are all in one zone, and its consumers in another. The backends name a
//! `Server-Limit` far above what the consumers ask for.

use crate::{
    backend::{Action, Behaviour},
    cases::popular::judge,
    consumer::{Traffic, start},
    deployment::{Deployment, Route},
};
use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Requests a second that each of the three backends takes.
const LIMIT: f64 = 20.0;
const LISTS_PER_S: f64 = 6.0;
const CHECKS_PER_S: f64 = 8.0;
/// When the backends begin to name their limits.
const NAMED: f64 = 10.0;
const END: f64 = 90.0;

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let zones = ["a", "b"];
    let deployment = Arc::new(Deployment::new(record, &zones, 2));
    let route = |name, prefix, timeout_ms, latency_ms, service| Route {
        name,
        prefix,
        kind: "safe",
        timeout_ms,
        latency_ms,
        service,
    };
    let routes = [
        route("lists", "/lists/", 5_000, 1_000, "office"),
        route("checks", "/checks/", 2_000, 400, "till"),
    ];
    deployment.publish(1, &routes, &["office", "till"]);
    let behaviour: Behaviour = Arc::new(|spec, _| {
        Action::Work(Duration::from_millis(if spec.service == "office" { 400 } else { 160 }))
    });
    let mut limited = Vec::new();
    for number in 0..3 {
        let id = format!("i-office-{number}");
        limited.push(deployment.add_backend(&id, "office", "a", 2, true, &behaviour));
        for zone in zones {
            let id = format!("i-till-{zone}-{number}");
            deployment.add_backend(&id, "till", zone, 2, true, &behaviour);
        }
    }
    deployment.start_gateways();
    deployment.wait_until(4.0);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for zone in zones {
        let check = move |n: u64| ("GET", format!("/checks/{zone}-{n}"));
        let timeout = Duration::from_millis(2_000);
        callers.push(start(
            &deployment,
            Traffic { zone: zone, per_s: CHECKS_PER_S, end: END, timeout: timeout },
            check,
            &outcomes,
        ));
    }
    let list = |n| ("GET", format!("/lists/{n}"));
    let timeout = Duration::from_millis(5_000);
    callers.push(start(
        &deployment,
        Traffic { zone: "b", per_s: LISTS_PER_S, end: END, timeout: timeout },
        list,
        &outcomes,
    ));
    deployment.wait_until(NAMED);
    if has_trouble {
        for backend in &limited {
            deployment.record.line(format!("{} names Server-Limit: {LIMIT}", backend.spec.id));
            backend.headers.lock().unwrap().push(("Server-Limit", LIMIT.to_string()));
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let verdict = judge(&deployment, &outcomes.lock().unwrap());
    deployment.end();
    verdict
}
