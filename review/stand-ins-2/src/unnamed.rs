//! The machine of a zone is partitioned from all backends, while the store lists many servers of services that the
//! manifest does not name.

use crate::{
    deployment::{ZONES, start_backends, start_gateways},
    gateway::Gateway,
    http::{Partition, call},
    record::Record,
    store::Store,
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOST: &str = "kiosk-gateway.spaza-link.example";
/// Entries of services that the manifest does not name, 20 each.
const UNNAMED: usize = 200;
/// Interval at which they are written.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Length of the partition.
const CUT: Duration = Duration::from_secs(8);
/// Bound of the rule, from the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Consumers of each zone, and the pause of each between two requests.
const CONSUMERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(500);

/// First try of a request, at a machine.
struct Try {
    sent: Instant,
    at: SocketAddr,
    served: bool,
}

fn manifest() -> String {
    format!(
        r#"{{"version":"r3","routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","service","max_attempts","traffic_split"],"rows":[["r-balance","{HOST}","/balance-check/","safe","1000ms","400ms",2,"till-api",2,null],["r-recon","{HOST}","/nightly-recon/","safe","2500ms","1000ms",2,"head-office-api",2,null]]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["till-api","/healthz",240],["head-office-api","/healthz",240]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    )
}

/// Asks the daemons in turn, the nearest first, where to connect. Returns the addresses and their lifetime.
fn resolve(daemons: &[SocketAddr], zone: &str) -> Option<(Vec<SocketAddr>, Duration)> {
    let head = format!(
        "GET /v1/resolve?name={HOST}&region=za-north&zone={zone} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"
    );
    daemons.iter().find_map(|daemon| {
        let answer = call(*daemon, &head, b"", Duration::from_secs(1))?;
        let text = String::from_utf8(answer.body).ok()?;
        let (_, rest) = text.split_once("\"addresses\":[")?;
        let (list, rest) = rest.split_once(']')?;
        let addresses: Vec<SocketAddr> =
            list.split(',').filter_map(|a| a.trim_matches('"').parse().ok()).collect();
        let ttl = rest.split_once("\"ttl\":\"")?.1.split_once("ms\"")?.0.parse().ok()?;
        (!addresses.is_empty()).then_some((addresses, Duration::from_millis(ttl)))
    })
}

struct Consumer {
    zone: &'static str,
    number: usize,
    daemons: Vec<SocketAddr>,
    record: Arc<Record>,
    tries: Arc<Mutex<Vec<Try>>>,
    is_over: Arc<AtomicBool>,
}

impl Consumer {
    fn run(&self) {
        let mut known: Option<(Vec<SocketAddr>, Instant)> = None;
        for count in 0_usize.. {
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            if known.as_ref().is_none_or(|(_, until)| Instant::now() >= *until) {
                match resolve(&self.daemons, self.zone) {
                    Some((addresses, ttl)) => known = Some((addresses, Instant::now() + ttl)),
                    None => self.record.line(&format!("no addresses for {}", self.zone)),
                }
            }
            if let Some((addresses, _)) = &known {
                self.ask(addresses[(self.number + count) % addresses.len()], count);
            }
            thread::sleep(PAUSE);
        }
    }

    fn ask(&self, at: SocketAddr, count: usize) {
        let (path, limit_ms) = match count % 2 {
            0 => ("/balance-check/", 2_000),
            _ => ("/nightly-recon/", 5_000),
        };
        let id = format!("{}{:02x}{count:06x}", &self.zone[self.zone.len() - 1..], self.number);
        let head = format!(
            "GET {path}{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {limit_ms}\r\n\
             Connection: close\r\n\r\n"
        );
        let sent = Instant::now();
        let answer = call(at, &head, b"", Duration::from_millis(limit_ms));
        let status = answer.map(|r| r.status);
        self.record.line(&format!(
            "first try id={id} from={} at={at} sent_ms_ago={} answer={status:?}",
            self.zone,
            sent.elapsed().as_millis()
        ));
        let done = Try { sent, at, served: status == Some(200) };
        self.tries.lock().expect("the tries").push(done);
    }
}

/// Writes `count` entries of other services, at intervals until `is_over`.
pub fn write_unnamed(store: &Store, is_over: &AtomicBool, count: usize) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
    for sequence in 1.. {
        for number in 0..count {
            let entry = format!(
                "{{\"service\":\"stock-{}\",\"address\":\"127.48.{}.{}:9000\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":2,\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\"born\":{born}}}",
                number / 20,
                200 + number / 200,
                number % 200 + 1,
                ZONES[number % ZONES.len()]
            );
            store.put(&format!("servers/i-stock-{number}"), entry.as_bytes());
        }
        thread::sleep(HEARTBEAT);
        if is_over.load(Ordering::SeqCst) {
            return;
        }
    }
}

/// Returns whether the rule was broken, `None` if the case could not run.
pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    // Without these entries, the same partition breaks no rule.
    let has_unnamed = trouble && std::env::var("UNNAMED").map_or(true, |value| value != "0");
    let store = Store::start();
    let partition = Partition::default();
    store.put("op/config", manifest().as_bytes());
    start_backends(Duration::from_millis(20), &store, record, &partition);
    let is_over = Arc::new(AtomicBool::new(false));
    if has_unnamed {
        record.line(&format!("{UNNAMED} entries of services that the manifest does not name"));
        let (store, is_over) = (Arc::clone(&store), Arc::clone(&is_over));
        thread::spawn(move || write_unnamed(&store, &is_over, UNNAMED));
    }
    let gateways: Vec<Gateway> = start_gateways(root, folder, 4, &store, record)?;
    let tries = Arc::new(Mutex::new(Vec::new()));
    let mut consumers = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        for number in 0..CONSUMERS {
            // The nearest daemon first.
            let mut daemons: Vec<SocketAddr> = gateways.iter().map(|g| g.directions).collect();
            daemons.rotate_left(index);
            let consumer = Consumer {
                zone,
                number,
                daemons,
                record: Arc::clone(record),
                tries: Arc::clone(&tries),
                is_over: Arc::clone(&is_over),
            };
            consumers.push(thread::spawn(move || consumer.run()));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let cut = gateways[0].calls;
    let start = Instant::now();
    if trouble {
        record.line(&format!("{cut} is partitioned from all backends"));
        partition.lock().ok()?.insert(cut.ip());
    }
    thread::sleep(CUT);
    let end = Instant::now();
    partition.lock().ok()?.clear();
    record.line("the partition ends");
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        consumer.join().ok()?;
    }
    let tries = tries.lock().ok()?;
    let watched = || tries.iter().filter(|t| t.sent >= start + CONTACT && t.sent < end);
    let count = |at_cut: bool| {
        let these = || watched().filter(|t| (t.at == cut) == at_cut);
        (these().count(), these().filter(|t| t.served).count())
    };
    let ((sent, served), (sent_elsewhere, served_elsewhere)) = (count(true), count(false));
    let all = sent + sent_elsewhere;
    let failed = sent - served;
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let is_less = share(served, sent) < share(served_elsewhere, sent_elsewhere) * 2.0 / 3.0;
    let is_broken = is_less && failed as f64 > 10.0 + all as f64 / 50.0;
    record.line(&format!(
        "from contact on: at the machine that is cut off sent={sent} served={served}, elsewhere \
         sent={sent_elsewhere} served={served_elsewhere}; failed there={failed} of all={all}"
    ));
    Some(is_broken)
}
