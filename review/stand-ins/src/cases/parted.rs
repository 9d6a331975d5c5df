//! The zones lose each other for a minute. After that a backend names `Server-Limit`.

use crate::{
    backend::{Action, Behaviour},
    cases::limit::judge,
    consumer::{Traffic, start},
    deployment::{Deployment, Route},
};
use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Requests a second that the backend takes.
const LIMIT: f64 = 4.0;
/// When the zones lose each other, and when they have each other back.
const CUT: f64 = 5.0;
const HEAL: f64 = 68.0;
/// When the backend begins to name its limit, after all is well again.
const NAMED: f64 = 75.0;
const END: f64 = 100.0;
const PER_ZONE: f64 = 18.0;
const TIMEOUT: Duration = Duration::from_millis(2_000);

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let zones = ["a", "b", "c"];
    let (deployment, links) = Deployment::with_links(record, &zones, 2);
    let deployment = Arc::new(deployment);
    let route = Route {
        name: "stock",
        prefix: "/stock/",
        kind: "safe",
        timeout_ms: 2_000,
        latency_ms: 500,
        service: "till",
    };
    deployment.publish(1, &[route], &["till"]);
    let work: Behaviour = Arc::new(|_, _| Action::Work(Duration::from_millis(200)));
    for (number, zone) in ["a", "a", "b", "c"].into_iter().enumerate() {
        deployment.add_backend(&format!("i-{number}"), "till", zone, 3, true, &work);
    }
    let limited = Arc::clone(&deployment.backends.lock().unwrap()[0]);
    deployment.start_gateways();
    deployment.wait_until(CUT);
    if has_trouble {
        deployment.record.line("the zones lose each other");
        links.cut(true);
    }
    deployment.wait_until(HEAL);
    links.cut(false);
    deployment.record.line("the links between the zones are whole");
    deployment.wait_until(HEAL + 2.0);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = zones
        .into_iter()
        .map(|zone| {
            let request = move |n: u64| ("GET", format!("/stock/{zone}/{n}"));
            start(
                &deployment,
                Traffic { zone: zone, per_s: PER_ZONE, end: END, timeout: TIMEOUT },
                request,
                &outcomes,
            )
        })
        .collect();
    deployment.wait_until(NAMED);
    deployment.record.line(format!("backend {} names Server-Limit: {LIMIT}", limited.spec.id));
    limited.headers.lock().unwrap().push(("Server-Limit", LIMIT.to_string()));
    for caller in callers {
        let _ = caller.join();
    }
    let verdict = judge(&deployment, &limited.spec.id, LIMIT, &outcomes.lock().unwrap());
    deployment.end();
    verdict
}
