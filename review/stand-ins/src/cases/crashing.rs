//! A request crashes each backend that begins to run it, and comes again with the same path, caller and body.

use crate::{
    backend::{Action, Backend, Behaviour},
    consumer::{Caller, Outcome, Traffic, call_as, count_served, resolve, start},
    deployment::{Deployment, Route},
};
use std::{
    collections::HashSet,
    net::Ipv4Addr,
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

/// What is special about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Other callers ask for the same path, and are answered.
    SharedPath,
    /// It takes down the machine of the backend, so that its connections hang.
    Dark,
    /// Its answer is long, and the backend ends while it sends it.
    LongAnswer,
}

/// When the request comes first.
const FIRST: f64 = 10.0;
/// Interval at which it comes.
const INTERVAL: f64 = 4.0;
/// Time after which a backend is back.
const DOWN_S: f64 = 4.0;
const END: f64 = 70.0;
/// `contact`.
const CONTACT: f64 = 3.0;
/// Retries that the rule allows.
const ALLOWED: usize = 3;
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
const SALE_TIMEOUT: Duration = Duration::from_millis(2_500);
const WORK: Duration = Duration::from_millis(160);
/// Address of the caller of the request, and its session.
const CALLER: Caller =
    Caller { source: Some(Ipv4Addr::new(127, 9, 9, 9)), headers: "Cookie: session=9\r\n" };

pub fn run(record: &Path, has_trouble: bool, kind: Kind) -> Option<bool> {
    let zones = ["a", "b"];
    let deployment = Arc::new(Deployment::new(record, &zones, 2));
    let route = |name, prefix, kind, timeout_ms| Route {
        name,
        prefix,
        kind,
        timeout_ms,
        latency_ms: 400,
        service: "till",
    };
    let routes =
        [route("lists", "/lists/", "safe", 2_000), route("sales", "/sales/", "unsafe", 2_500)];
    deployment.publish(1, &routes, &["till"]);
    let behaviour: Behaviour = Arc::new(move |_, request| {
        match (has_trouble && request.header("cookie").is_some(), kind) {
            (false, _) => Action::Work(WORK),
            (true, Kind::SharedPath) => Action::Crash,
            (true, Kind::Dark) => Action::Dark,
            (true, Kind::LongAnswer) => Action::CrashMidAnswer,
        }
    });
    for number in 0..5 {
        for zone in zones {
            deployment.add_backend(
                &format!("i-{zone}-{number}"),
                "till",
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
    let mut threads = Vec::new();
    for zone in zones {
        let list = move |n: u64| match kind {
            Kind::SharedPath => ("GET", "/lists/prices".to_owned()),
            Kind::Dark | Kind::LongAnswer => ("GET", format!("/lists/{zone}-{n}")),
        };
        threads.push(start(
            &deployment,
            Traffic { zone: zone, per_s: 10.0, end: END, timeout: LIST_TIMEOUT },
            list,
            &outcomes,
        ));
        let sale = move |n: u64| ("POST", format!("/sales/{zone}-{n}"));
        threads.push(start(
            &deployment,
            Traffic { zone: zone, per_s: 6.0, end: END, timeout: SALE_TIMEOUT },
            sale,
            &outcomes,
        ));
    }
    let replacing = Arc::clone(&deployment);
    threads.push(thread::spawn(move || replace_crashed(&replacing, &behaviour)));
    let mut crashing = Vec::new();
    let mut at = FIRST;
    while at < END - LIST_TIMEOUT.as_secs_f64() - 1.0 {
        deployment.wait_until(at);
        at += INTERVAL;
        let zone = zones[crashing.len() % 2];
        if let Some(address) = resolve(&deployment, zone).first() {
            crashing.push(call_as(
                &deployment,
                *address,
                "GET",
                "/lists/prices",
                LIST_TIMEOUT,
                CALLER,
            ));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let verdict = judge(&deployment, &crashing, &outcomes.lock().unwrap());
    deployment.end();
    verdict
}

/// Starts a backend in the place of each one that has crashed, after [`DOWN_S`].
fn replace_crashed(deployment: &Deployment, behaviour: &Behaviour) {
    let mut replaced: HashSet<String> = HashSet::new();
    while deployment.record.now() < END {
        thread::sleep(Duration::from_millis(50));
        let now = deployment.record.now();
        let crashes = deployment.log.crashes.lock().unwrap().clone();
        for (at, id, _) in crashes {
            if at + DOWN_S > now || !replaced.insert(id.clone()) {
                continue;
            }
            let backends = deployment.backends.lock().unwrap().clone();
            let Some(old) = backends.iter().find(|b| b.spec.id == id) else { continue };
            end_for_good(old);
            let zone = old.spec.zone.clone();
            deployment.add_backend(&format!("{id}x"), "till", &zone, 3, true, behaviour);
        }
    }
}

/// Ends the process of a backend whose machine had no power: it is about to start again.
fn end_for_good(backend: &Backend) {
    if backend.is_dark.load(Ordering::SeqCst) {
        backend.crash("nothing any more");
    }
}

fn judge(deployment: &Deployment, crashing: &[Outcome], others: &[Outcome]) -> Option<bool> {
    if deployment.gateways.iter().any(|g| g.has_ended()) {
        return None;
    }
    let ids: HashSet<&str> = crashing.iter().map(|o| o.id.as_str()).collect();
    let crashes: Vec<f64> = {
        let all = deployment.log.crashes.lock().unwrap();
        all.iter()
            .filter(|(_, _, cause)| ids.contains(cause.as_str()))
            .map(|(at, ..)| *at)
            .collect()
    };
    let third = crashes.get(2).copied().unwrap_or(f64::INFINITY);
    let arrivals = deployment.log.arrivals.lock().unwrap();
    let late =
        arrivals.iter().filter(|a| ids.contains(a.id.as_str()) && a.at > third + CONTACT).count();
    let (sales, sold) = count_served(others, "/sales/");
    let (all, served) = count_served(others, "/");
    for line in [
        format!(
            "other requests={all} served={served}, sales={sales} not answered with 200: {}",
            sales - sold
        ),
        format!(
            "the request was sent {} times and crashed {} backends",
            crashing.len(),
            crashes.len()
        ),
        format!(
            "BUDGET: {late} arrivals later than {CONTACT} s after the third crash at {third:.3}; allowed are {ALLOWED}"
        ),
    ] {
        deployment.record.line(&line);
        println!("{line}");
    }
    (!crashing.is_empty() && served * 2 > all).then_some(late <= ALLOWED)
}
