//! A backend that names `Server-Limit` is cut off from the store for less than five seconds. Its entry lapses and
//! comes back, while it serves and names its limit all the time.

use crate::{
    backend::{Action, Backend, Behaviour},
    consumer::{Outcome, Traffic, start},
    deployment::{Deployment, Route},
};
use std::{
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

/// Requests a second that the backend takes.
const LIMIT: f64 = 0.25;
/// Requests a second of the consumers of a zone: a little more than the backends can run.
const PER_ZONE: f64 = 16.0;
/// When it begins to name its limit.
const NAMED: f64 = 8.0;
/// When it is cut off from the store.
const CUTS: [f64; 2] = [18.0, 32.0];
/// Length of a cut: less than the 5 s of `srv_cut`.
const CUT_S: f64 = 4.9;
const END: f64 = 48.0;
/// `contact`.
const CONTACT: f64 = 3.0;
/// Span in which the requests are counted.
const SPAN: f64 = 4.0;
const TIMEOUT: Duration = Duration::from_millis(2_000);

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let zones = ["a", "b", "c", "d"];
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
    let work: Behaviour = Arc::new(|_, _| Action::Work(Duration::from_millis(250)));
    for (number, zone) in ["a", "a", "b", "c", "d"].into_iter().enumerate() {
        deployment.add_backend(&format!("i-{number}"), "till", zone, 3, false, &work);
    }
    let limited = Arc::clone(&deployment.backends.lock().unwrap()[0]);
    deployment.start_gateways();
    deployment.wait_until(4.0);
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
    for at in CUTS {
        deployment.wait_until(at);
        if has_trouble {
            cut(&deployment, &limited, at + CUT_S);
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let verdict = judge(&deployment, &limited.spec.id, LIMIT, &outcomes.lock().unwrap());
    deployment.end();
    verdict
}

/// Cuts the backend off from the store until `end`.
fn cut(deployment: &Deployment, backend: &Backend, end: f64) {
    let (record, id) = (&deployment.record, &backend.spec.id);
    record.line(format!("backend {id} is cut off from the store"));
    backend.cut_from_store.store(true, Ordering::SeqCst);
    let mut was_listed = true;
    while record.now() < end {
        let is_listed = deployment.store.has(&format!("servers/{id}"));
        if was_listed != is_listed {
            record.line(format!("entry of {id} listed={is_listed}"));
            was_listed = is_listed;
        }
        thread::sleep(Duration::from_millis(10));
    }
    backend.cut_from_store.store(false, Ordering::SeqCst);
    record.line(format!("backend {id} reaches the store again"));
}

/// Counts the requests that the backend gets from the machines that have passed on an answer with its
/// limit half a second before or earlier.
pub fn judge(
    deployment: &Deployment,
    limited: &str,
    limit: f64,
    outcomes: &[Outcome],
) -> Option<bool> {
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    deployment.record.line(format!("requests={} served={served}", outcomes.len()));
    if served * 2 < outcomes.len() || deployment.gateways.iter().any(|g| g.has_ended()) {
        return None;
    }
    // When each machine first passed on an answer with the limit.
    let told = |gateway: &str| {
        let named = outcomes
            .iter()
            .filter(|o| {
                o.gateway == gateway && o.headers.iter().any(|(name, _)| name == "server-limit")
            })
            .map(|o| o.ended);
        named.fold(f64::INFINITY, f64::min)
    };
    for gateway in &deployment.gateways {
        deployment.record.line(format!(
            "gateway {} first passed on an answer with the limit at {:.3}",
            gateway.name,
            told(&gateway.name)
        ));
    }
    let first = outcomes
        .iter()
        .filter(|o| o.headers.iter().any(|(name, _)| name == "server-limit"))
        .map(|o| o.ended)
        .fold(f64::INFINITY, f64::min);
    let arrivals = deployment.log.arrivals.lock().unwrap();
    let mut counted: Vec<f64> = Vec::new();
    for arrival in arrivals.iter().filter(|a| a.backend == limited && !a.is_probe) {
        let Some(sender) = outcomes.iter().find(|o| o.id == arrival.id) else { continue };
        if arrival.at >= first + CONTACT && told(&sender.gateway) + 0.5 <= arrival.at {
            counted.push(arrival.at);
        }
    }
    let allowed = 1.5 * limit * SPAN + 5.0;
    let most = counted
        .iter()
        .map(|from| {
            (counted.iter().filter(|at| **at >= *from && **at < from + SPAN).count(), *from)
        })
        .max_by_key(|(count, _)| *count)
        .unwrap_or((0, 0.0));
    let line = format!(
        "LIMIT: at most {} requests in {SPAN} s, from {:.3} s on; allowed are {allowed}",
        most.0, most.1
    );
    deployment.record.line(&line);
    println!("{line}");
    Some(most.0 as f64 <= allowed)
}
