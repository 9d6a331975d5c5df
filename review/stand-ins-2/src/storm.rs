//! Manifests of many routes in quick succession.

use crate::{
    deployment::{start_backends, start_gateways},
    gateway::Gateway,
    http::{Partition, call},
    record::Record,
    store::Store,
};
use std::{
    fmt::Write,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Routes of the manifest: a few, and those of two `big_config` of 1,400 each.
const ROUTES: usize = 2_810;
/// Changes of the storm and their interval: `config_storm` with `for_s = 1.5` and `gap_s = 0.06`.
const CHANGES: u64 = 25;
const GAP: Duration = Duration::from_millis(60);
/// Bound of the rule, from the settings.
const CONFIG: Duration = Duration::from_secs(2);
/// Time for which callers are watched after the storm.
const WATCHED: Duration = Duration::from_secs(12);
const HOST: &str = "kiosk-gateway.spaza-link.example";
/// Route that the last version adds.
const NEW_PATH: &str = "/refunds/";
/// Route of sales that the last version moves from one service to the other.
const MOVED_PATH: &str = "/voucher-sale/";
const OLD_SERVICE: &str = "till-api";
const NEW_SERVICE: &str = "head-office-api";

/// Returns the manifest of `version`; the last one adds a route and moves another.
fn manifest(version: u64, is_last: bool) -> String {
    let mut rows = Vec::new();
    let mut row = |name: &str, prefix: &str, latency_ms: u64| {
        let mut text = String::new();
        let split =
            r#"[{"service":"till-api","weight":90},{"service":"head-office-api","weight":10}]"#;
        let _ = write!(
            text,
            r#"["{name}","{HOST}","{prefix}","safe","1000ms","{latency_ms}ms",2,null,2,{split}]"#
        );
        rows.push(text);
    };
    for number in 0..ROUTES {
        // The storm changes a route that nobody uses.
        let latency_ms = if number == 7 { 400 + version % 50 } else { 400 };
        row(
            &format!("r-balance-check-{number:05}"),
            &format!("/balance-check/{number:05}/"),
            latency_ms,
        );
    }
    if is_last {
        row("r-refunds", NEW_PATH, 400);
    }
    let service = if is_last { NEW_SERVICE } else { OLD_SERVICE };
    rows.push(format!(
        r#"["r-voucher-sale","{HOST}","{MOVED_PATH}","unsafe","1200ms","500ms",1,"{service}",2,null]"#
    ));
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","service","max_attempts","traffic_split"],"rows":[{}]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["till-api","/healthz",240],["head-office-api","/healthz",240]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        rows.join(",")
    )
}

/// Sends a request, and returns the status and the service that ran it.
fn ask(gateway: &Gateway, method: &str, path: &str, id: &str) -> (Option<u16>, String) {
    let head = format!(
        "{method} {path}1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: 2000\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let response = call(gateway.calls, &head, b"", Duration::from_secs(2));
    let body = response.as_ref().map(|r| String::from_utf8_lossy(&r.body).into_owned());
    let service = body.and_then(|body| Some(body.split_once(' ')?.0.to_owned()));
    (response.map(|r| r.status), service.unwrap_or_else(|| "-".to_owned()))
}

/// Returns whether the rule was broken, `None` if the case could not run.
pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    let mut version = 3;
    let first = manifest(version, false);
    record.line(&format!("manifest routes={ROUTES} bytes={}", first.len()));
    store.put("op/config", first.as_bytes());
    start_backends(Duration::from_millis(20), &store, record, &Partition::default());
    let mut gateways: Vec<Gateway> = start_gateways(root, folder, 2, &store, record)?;
    for gateway in &gateways {
        let (status, service) = ask(gateway, "POST", MOVED_PATH, "first");
        record.line(&format!(
            "before the storm {} answers {status:?} run by {service}",
            gateway.host
        ));
        if status != Some(200) || service != OLD_SERVICE {
            return None;
        }
    }
    let storm_start = Instant::now();
    let changes = if trouble { CHANGES } else { 1 };
    for number in 1..=changes {
        version += 1;
        let bytes = manifest(version, number == changes);
        store.put("op/config", bytes.as_bytes());
        record.line(&format!("confirmed version=r{version} bytes={}", bytes.len()));
        let due = storm_start + GAP * u32::try_from(number).unwrap_or(u32::MAX);
        if number < changes {
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    let confirmed = Instant::now();
    let (mut late, mut refused, mut run_by_old, mut number) = (0, 0, 0, 0);
    while confirmed.elapsed() < WATCHED {
        for gateway in &mut gateways {
            if !gateway.is_running() {
                record.line(&format!("{} has ended", gateway.host));
                return Some(true);
            }
            for (method, path) in [("GET", NEW_PATH), ("POST", MOVED_PATH)] {
                number += 1;
                let since = confirmed.elapsed();
                let id = format!("{number:08x}");
                let (status, service) = ask(gateway, method, path, &id);
                record.line(&format!(
                    "sent id={id} to={} {method} {path}1 ms_after_confirmation={} answer={status:?} run_by={service}",
                    gateway.host,
                    since.as_millis()
                ));
                if since > CONFIG {
                    late += 1;
                    refused += u32::from(path == NEW_PATH && status == Some(404));
                    run_by_old += u32::from(path == MOVED_PATH && service == OLD_SERVICE);
                }
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.line(&format!(
        "later than config: sent={late} refused_with_404={refused} run_by_old_service={run_by_old}"
    ));
    Some(refused + run_by_old > 0)
}
