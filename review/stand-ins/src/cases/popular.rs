//! Consumers of one zone ask for the same list all the time. All backends of the
//! list's service in that zone crash at once, and
//! others take their place after five seconds.

use crate::{
    backend::{Action, Backend, Behaviour},
    consumer::{Outcome, Traffic, count_served, start},
    deployment::{Deployment, Route},
};
use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// When the backends of zone `a` crash, or shortly after.
const CRASH: f64 = 10.0;
/// Time for which they are down: less than the 5 s of `srv_crash`.
const DOWN_S: f64 = 4.9;
const END: f64 = 90.0;
const LISTS_PER_S: f64 = 5.0;
const CHECKS_PER_S: f64 = 8.0;
const LIST_TIME: Duration = Duration::from_millis(640);
const CHECK_TIME: Duration = Duration::from_millis(160);

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
        route("lists", "/lists/", 8_000, 1_500, "office"),
        route("checks", "/checks/", 2_000, 400, "till"),
    ];
    deployment.publish(1, &routes, &["office", "till"]);
    let behaviour: Behaviour = Arc::new(|spec, _| {
        Action::Work(if spec.service == "office" { LIST_TIME } else { CHECK_TIME })
    });
    let add = |number: usize, service: &str, zone: &str| {
        let id = format!("i-{service}-{zone}-{number}");
        deployment.add_backend(&id, service, zone, 2, true, &behaviour)
    };
    let mut crashing = Vec::new();
    for number in 0..3 {
        for service in ["office", "till"] {
            crashing.push(add(number, service, "a"));
            add(number, service, "b");
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
    let list = |_| ("GET", "/lists/prices".to_owned());
    let timeout = Duration::from_millis(8_000);
    callers.push(start(
        &deployment,
        Traffic { zone: "a", per_s: LISTS_PER_S, end: END, timeout: timeout },
        list,
        &outcomes,
    ));
    deployment.wait_until(CRASH);
    if has_trouble {
        let office: Vec<&Arc<Backend>> =
            crashing.iter().filter(|b| b.spec.service == "office").collect();
        // Most of the time each backend is at work on a request for the list.
        while !office.iter().all(|b| b.is_busy()) && deployment.record.now() < CRASH + 5.0 {
            thread::sleep(Duration::from_millis(2));
        }
        for backend in &office {
            backend.crash("whatever it ran");
        }
        deployment.wait_until(deployment.record.now() + DOWN_S);
        for number in 3..6 {
            add(number, "office", "a");
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let verdict = judge(&deployment, &outcomes.lock().unwrap());
    deployment.end();
    verdict
}

/// Compares how often the kinds of request are served.
pub fn judge(deployment: &Deployment, outcomes: &[Outcome]) -> Option<bool> {
    if deployment.gateways.iter().any(|g| g.has_ended()) {
        return None;
    }
    let share = |prefix: &str| {
        let (all, served) = count_served(outcomes, prefix);
        let answered = outcomes.iter().filter(|o| o.path.starts_with(prefix) && o.status == 200);
        let last = answered.map(|o| o.ended).fold(0.0, f64::max);
        let share = served as f64 / all.max(1) as f64;
        let line = format!(
            "{prefix} requests={all} served={served} share={share:.3} last served at {last:.3}"
        );
        deployment.record.line(&line);
        println!("{line}");
        share
    };
    let (lists, checks, all) = (share("/lists/"), share("/checks/"), share("/"));
    (all > 0.0).then_some(lists >= all / 4.0 && checks >= all / 4.0)
}
