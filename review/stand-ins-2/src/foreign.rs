//! Entries of another writer, which name the addresses of backends and a service that the manifest does not name.

use crate::{
    deployment::{SERVICES, start_backends, start_gateways},
    gateway::Gateway,
    http::{Partition, call},
    record::Record,
    store::Store,
};
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOST: &str = "kiosk-gateway.spaza-link.example";
/// Kinds of request of the site: method, path and service.
const KINDS: [(&str, &str, &str); 4] = [
    ("GET", "/balance-check/", "till-api"),
    ("POST", "/voucher-sale/", "till-api"),
    ("GET", "/nightly-recon/", "head-office-api"),
    ("GET", "/price-sync/", "head-office-api"),
];
/// Time before the other writer begins, and afterwards.
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(50);
/// Interval at which it writes, like a backend.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(100);

fn manifest() -> String {
    let rows: Vec<String> = KINDS
        .iter()
        .map(|(method, path, service)| {
            let kind = if *method == "POST" { "unsafe" } else { "safe" };
            format!(
                r#"["r{path}","{HOST}","{path}","{kind}","1000ms","400ms",2,"{service}",2,null]"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"r3","routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","service","max_attempts","traffic_split"],"rows":[{}]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["till-api","/healthz",240],["head-office-api","/healthz",240]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        rows.join(",")
    )
}

/// Returns whether the rule was broken, `None` if the case could not run.
pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", manifest().as_bytes());
    let backends = start_backends(Duration::from_millis(20), &store, record, &Partition::default());
    let gateways: Vec<Gateway> = start_gateways(root, folder, 3, &store, record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new([(0_u32, 0_u32); 4]));
    let callers: Vec<_> = (0..KINDS.len())
        .map(|index| {
            let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(&counts));
            let (record, addresses) =
                (Arc::clone(record), gateways.iter().map(|g| g.calls).collect::<Vec<_>>());
            thread::spawn(move || {
                let (method, path, _) = KINDS[index];
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{index}{number:07x}");
                    let head = format!(
                        "{method} {path}1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: 2000\r\n\
                         Content-Length: 0\r\nConnection: close\r\n\r\n"
                    );
                    let address = addresses[number % addresses.len()];
                    let answer = call(address, &head, b"", Duration::from_secs(2));
                    let status = answer.map(|r| r.status);
                    record.line(&format!("sent id={id} to={address} {method} {path}1 answer={status:?}"));
                    let mut counts = counts.lock().expect("the counts");
                    counts[index].0 += 1;
                    counts[index].1 += u32::from(status == Some(200));
                    drop(counts);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    let end = Instant::now() + AFTER;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
    for sequence in 1.. {
        let hidden = backends.iter().filter(|b| trouble && b.service == SERVICES[0]);
        for (number, backend) in hidden.enumerate() {
            let entry = format!(
                "{{\"service\":\"node-agent\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v9\",\"slots\":1,\
                 \"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\"born\":{born}}}",
                backend.address, backend.zone
            );
            record.line(&format!("another writer puts servers/agent-{number} {entry}"));
            store.put(&format!("servers/agent-{number}"), entry.as_bytes());
        }
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(HEARTBEAT.min(left));
        if Instant::now() >= end {
            break;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().ok()?;
    }
    let counts = *counts.lock().expect("the counts");
    let share = |(sent, served): (u32, u32)| f64::from(served) / f64::from(sent.max(1));
    let all = share(counts.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1)));
    let mut is_broken = false;
    for ((method, path, _), count) in KINDS.iter().zip(counts) {
        let is_starved = share(count) < all / 4.0;
        is_broken |= is_starved;
        record.line(&format!(
            "{method} {path}: sent={} served={} share={:.3} of all={all:.3} starved={is_starved}",
            count.0,
            count.1,
            share(count)
        ));
    }
    Some(is_broken)
}
