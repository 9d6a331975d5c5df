//! A request that crashes each backend which begins to run it, while the store lists many servers of services that
//! the manifest does not name. Each backend is a process of its own.

use crate::{
    deployment::{ZONES, start_gateways},
    gateway::Gateway,
    http::{Partition, Request, Response, call, serve},
    record::Record,
    store::Store,
    unnamed::write_unnamed,
};
use std::{
    env,
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOST: &str = "kiosk-gateway.spaza-link.example";
/// Entries of services that the manifest does not name, 20 each.
const UNNAMED: usize = 1_000;
/// Backends of the service in each zone.
const BACKENDS: usize = 4;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time from a crash until the backend is back.
const DOWN: Duration = Duration::from_secs(4);
/// Interval at which the request comes again, and how long.
const INTERVAL: Duration = Duration::from_millis(1_500);
const WATCHED: Duration = Duration::from_secs(75);
/// Bound of the rule, from the settings.
const CONTACT: Duration = Duration::from_secs(3);
const CRASH_PATH: &str = "/lists/broken";

fn manifest() -> String {
    format!(
        r#"{{"version":"r3","routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","service","max_attempts","traffic_split"],"rows":[["r-lists","{HOST}","/lists/","safe","1000ms","400ms",2,"till-api",2,null],["r-sale","{HOST}","/voucher-sale/","unsafe","1200ms","500ms",1,"till-api",2,null]]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["till-api","/healthz",240]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    )
}

/// Runs one backend in this process: `ID PORT`, port 0 for any.
pub fn run_backend(mut args: impl Iterator<Item = String>) {
    let id = args.next().expect("an id");
    let port: u16 = args.next().and_then(|port| port.parse().ok()).expect("a port");
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the port");
    println!("listens {}", listener.local_addr().expect("an address"));
    let handler = move |request: Request| {
        let load = "0,0,8";
        if request.path() == "/healthz" {
            return Response::new(200, Vec::new())
                .with("X-Instance-Id", &id)
                .with("X-Backend-Load", load);
        }
        let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
            let response = Response::new(421, Vec::new()).with("X-Not-Executed", 1);
            return response.with("X-Request-Id", request_id).with("X-Instance-Id", &id);
        }
        println!("run id={request_id} path={} at={id}", request.target);
        let _ = std::io::stdout().flush();
        thread::sleep(Duration::from_millis(20));
        if request.target == CRASH_PATH {
            std::process::abort();
        }
        let response = Response::new(200, b"done\n".to_vec()).with("X-Request-Id", &request_id);
        response
            .with("X-Backend-Load", load)
            .with("X-Response-Signature", format!("{id}.{request_id}"))
    };
    serve(listener, Partition::default(), handler);
    // Ends with the scenario, which holds the other end.
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
}

/// Times of the runs of the crashing request, and of the crashes.
#[derive(Default)]
struct Log {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// Starts the process of a backend again after each crash, each time under a new id, and writes its entry.
fn keep_backend(
    zone: &str,
    number: usize,
    store: &Store,
    record: &Arc<Record>,
    log: &Arc<Mutex<Log>>,
    is_over: &AtomicBool,
) {
    let mut port = "0".to_owned();
    for start in 0.. {
        let id = format!("i-till-{zone}-{number}-{start}");
        let Ok(mut child) = spawn(&id, &port) else { return };
        let mut lines = BufReader::new(child.stdout.take().expect("the output")).lines();
        let Some(Ok(first)) = lines.next() else { return };
        let address = first.trim_start_matches("listens ").to_owned();
        port = address.rsplit(':').next().unwrap_or("0").to_owned();
        let (record_lines, log_lines) = (Arc::clone(record), Arc::clone(log));
        let reader = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line.contains(CRASH_PATH) {
                    log_lines.lock().expect("the log").arrivals.push(Instant::now());
                }
                record_lines.line(&line);
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let mut sequence = 0;
        let mut due = Instant::now();
        let crashed = loop {
            if is_over.load(Ordering::SeqCst) {
                break false;
            }
            if !matches!(child.try_wait(), Ok(None)) {
                break true;
            }
            if Instant::now() >= due {
                sequence += 1;
                due += HEARTBEAT;
                let entry = format!(
                    "{{\"service\":\"till-api\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\"born\":{born}}}"
                );
                store.put(&format!("servers/{id}"), entry.as_bytes());
            }
            thread::sleep(Duration::from_millis(5));
        };
        let _ = child.kill();
        let _ = child.wait();
        let _ = reader.join();
        if !crashed {
            return;
        }
        record.line(&format!("crashed {id}"));
        log.lock().expect("the log").crashes.push(Instant::now());
        thread::sleep(DOWN);
        store.remove(&format!("servers/{id}"));
    }
}

fn spawn(id: &str, port: &str) -> std::io::Result<Child> {
    let program = env::current_exe()?;
    Command::new(program)
        .args(["backend", id, port])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
}

fn ask(gateway: &Gateway, method: &str, path: &str, id: &str) -> Option<u16> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: 2000\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    call(gateway.calls, &head, b"", Duration::from_secs(2)).map(|response| response.status)
}

/// Returns whether the rule was broken, `None` if the case could not run.
pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", manifest().as_bytes());
    let (log, is_over) = (Arc::new(Mutex::new(Log::default())), Arc::new(AtomicBool::new(false)));
    // The backends go on until the last sale has been answered.
    let sales_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut tasks = Vec::new();
    for zone in ZONES {
        for number in 0..BACKENDS {
            let (store, record) = (Arc::clone(&store), Arc::clone(record));
            let (log, is_over) = (Arc::clone(&log), Arc::clone(&is_over));
            tasks.push(thread::spawn(move || {
                keep_backend(zone, number, &store, &record, &log, &is_over);
            }));
        }
    }
    if trouble {
        record.line(&format!("{UNNAMED} entries of services that the manifest does not name"));
        let (store, is_over) = (Arc::clone(&store), Arc::clone(&is_over));
        tasks.push(thread::spawn(move || write_unnamed(&store, &is_over, UNNAMED)));
    }
    let gateways = Arc::new(start_gateways(root, folder, 5, &store, record)?);
    let (sales, lost) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    for index in 0..gateways.len() * 4 {
        let (gateways, record, sales_over) =
            (Arc::clone(&gateways), Arc::clone(record), Arc::clone(&sales_over));
        let (sales, lost) = (Arc::clone(&sales), Arc::clone(&lost));
        callers.push(thread::spawn(move || {
            for number in 0.. {
                if sales_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("5a1e{index:02x}{number:06x}");
                let gateway = &gateways[index % gateways.len()];
                let status = ask(gateway, "POST", &format!("/voucher-sale/{id}"), &id);
                *sales.lock().expect("the count") += 1;
                if status != Some(200) {
                    *lost.lock().expect("the count") += 1;
                    record.line(&format!("sale id={id} answer={status:?}"));
                }
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() >= WATCHED {
            break;
        }
        let id = format!("bad{number:06x}");
        let gateway = &gateways[number % gateways.len()];
        let sent = Instant::now();
        let status = ask(gateway, "GET", CRASH_PATH, &id);
        record
            .line(&format!("sent id={id} to={} GET {CRASH_PATH} answer={status:?}", gateway.host));
        thread::sleep(INTERVAL.saturating_sub(sent.elapsed()));
    }
    sales_over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().ok()?;
    }
    is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        task.join().ok()?;
    }
    let log = log.lock().ok()?;
    let third = log.crashes.get(2).copied();
    let is_late = |at: &&Instant| third.is_some_and(|third| **at > third + CONTACT);
    let late = log.arrivals.iter().filter(is_late).count();
    record.line(&format!(
        "crashes={} arrivals={} later than contact after the third crash={late}; sales={} not served={}",
        log.crashes.len(),
        log.arrivals.len(),
        sales.lock().ok()?,
        lost.lock().ok()?
    ));
    third.map(|_| late > 3)
}
