//! All machines lose power, and the three that the settings name as seeds do not come back. Later a
//! backend names `Server-Limit`.

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
const LOSS: f64 = 6.0;
const BACK: f64 = 7.0;
/// When the backend begins to name its limit, long after the last start of a machine.
const NAMED: f64 = 20.0;
const END: f64 = 45.0;
const PER_ZONE: f64 = 18.0;
const TIMEOUT: Duration = Duration::from_millis(2_000);

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let zones = ["a", "b", "c"];
    let deployment = Arc::new(Deployment::new(record, &zones, 2));
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
    if has_trouble {
        deployment.wait_until(LOSS);
        for gateway in &deployment.gateways {
            gateway.kill(&deployment.record);
        }
        deployment.wait_until(BACK);
        for gateway in deployment.gateways.iter().filter(|g| !g.name.ends_with("-1")) {
            gateway.start(&deployment.record);
        }
    }
    deployment.wait_until(12.0);
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
