//! The administration API of an entry process: token, planned stop, metrics and audit record.
#![allow(clippy::unwrap_used)]

use azuretally_api::{
    admin::{EntryStatus, RecordPage},
    record::RecordEntry,
};
use azuretally_policy::record::{Location, Verifier};
use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process::{self, Child, Command, ExitStatus},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Time limit for the start and for the planned stop of an entry.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Loopback addresses for each process. The range holds those of 37,000 consecutive process ids.
const ADDRESSES_PER_PROCESS: u32 = 7;

/// Held from the reservation of the ports until the entry is spawned. A child forked in between by
/// another test would inherit the listeners of `free_ports` and keep them open until its exec, and
/// a connection to them would look like the start of the entry.
static SPAWN: Mutex<()> = Mutex::new(());

struct Entry {
    child: Child,
    admin: SocketAddr,
    directions: SocketAddr,
    folder: TempDir,
}

impl Entry {
    fn start() -> Self {
        let folder = TempDir::new().unwrap();
        let guard = SPAWN.lock().unwrap_or_else(PoisonError::into_inner);
        let ports = free_ports();
        let file = |name: &str| folder.path().join(name);
        fs::write(file("key"), "peer key").unwrap();
        fs::write(file("token"), "secret\n").unwrap();
        let text = format!(
            "host = 'entry-1'\nfailure_domain = 'a'\nplatform = ['127.0.0.1:9']\n\
             peer_key_file = '{}'\nadmin_token_file = '{}'\nrecord_file = '{}'\n[listen]\n\
             calls = '{}'\ndirections = '{}'\nadmin = '{}'\npeers = '{}'\n",
            file("key").display(),
            file("token").display(),
            file("record").display(),
            ports[0],
            ports[1],
            ports[2],
            ports[3]
        );
        fs::write(file("local.toml"), text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_azuretally-entry"))
            .arg("--settings")
            .arg(file("local.toml"))
            .spawn()
            .unwrap();
        drop(guard);
        let entry = Self { child, admin: ports[2], directions: ports[1], folder };
        let start = Instant::now();
        while TcpStream::connect(entry.admin).is_err() {
            assert!(start.elapsed() < PROCESS_TIMEOUT, "the entry did not start in time");
            thread::sleep(Duration::from_millis(20));
        }
        entry
    }

    fn request(&self, method: &str, path: &str, token: Option<&str>) -> (u16, String) {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        let token = token.map_or(String::new(), |t| format!("authorization: Bearer {t}\r\n"));
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n{token}\
             content-length: 0\r\n\r\n"
        )
        .unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let status = text.split(' ').nth(1).unwrap().parse().unwrap();
        (status, text.split_once("\r\n\r\n").unwrap().1.to_owned())
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < PROCESS_TIMEOUT, "the entry did not stop in time");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reserves four ports for one entry.
///
/// They are free again until the entry binds them. In the meantime, another socket with the same
/// address could take one, so they are on an address that only this start uses.
fn free_ports() -> Vec<SocketAddr> {
    let address = unique_loopback_address();
    let listeners: Vec<_> = (0..4).map(|_| TcpListener::bind((address, 0)).unwrap()).collect();
    listeners.iter().map(|l| l.local_addr().unwrap()).collect()
}

/// Returns a loopback address from 127.251.0.1 to 127.254.255.254, a range that no other test uses.
/// It differs between the starts in one process and between processes that run at the same time.
fn unique_loopback_address() -> Ipv4Addr {
    static STARTS: AtomicU32 = AtomicU32::new(0);
    let start = STARTS.fetch_add(1, Ordering::Relaxed);
    assert!(start < ADDRESSES_PER_PROCESS, "this process has no unused address left");
    let number = process::id().wrapping_mul(ADDRESSES_PER_PROCESS).wrapping_add(start);
    let octets = [251 + number / 254 / 256 % 4, number / 254 % 256, 1 + number % 254];
    let [second, third, fourth] = octets.map(|octet| octet as u8);
    Ipv4Addr::new(127, second, third, fourth)
}

#[test]
fn status_metrics_and_record_are_available() {
    let entry = Entry::start();
    let (code, body) = entry.request("GET", "/status", None);
    let status: EntryStatus = serde_json::from_str(&body).unwrap();
    assert_eq!((code, &*status.host, &*status.state), (200, "entry-1", "starting"));
    let (code, text) = entry.request("GET", "/metrics", None);
    assert_eq!(code, 200);
    assert!(text.contains("azuretally_settings_revision 0"), "{text}");
    assert!(text.ends_with("# EOF\n"));
    let (code, body) = entry.request("GET", "/records?after=0&limit=1", None);
    let page: RecordPage = serde_json::from_str(&body).unwrap();
    assert_eq!((code, page.lines.len()), (200, 1));
    assert!(matches!(page.lines[0].entry, RecordEntry::Start { .. }));
    assert_eq!(entry.request("GET", "/records?limit=x", None).0, 400);
    assert_eq!(entry.request("GET", "/nothing", None).0, 404);
}

#[test]
fn planned_stop_requires_the_token_and_completes_the_record() {
    let mut entry = Entry::start();
    assert_eq!(entry.request("POST", "/stop", None).0, 401);
    assert_eq!(entry.request("POST", "/stop", Some("secres")).0, 401);
    assert_eq!(entry.request("GET", "/status", None).0, 200, "the entry must still run");
    assert_eq!(entry.request("POST", "/stop", Some("secret")).0, 202);
    assert!(entry.wait_for_exit().success());
    let text = fs::read_to_string(entry.folder.path().join("record")).unwrap();
    let mut verifier = Verifier::default();
    let source: Arc<str> = "record".into();
    for (i, line) in text.lines().enumerate() {
        verifier.add_line(Location::from((&source, i + 1)), line);
    }
    let (summary, breaches) = verifier.finish(None);
    assert_eq!((summary.incarnations, breaches), (1, vec![]));
    assert!(text.lines().last().unwrap().contains("\"kind\":\"end\""));
}

#[test]
fn open_connections_do_not_delay_the_shutdown() {
    let mut entry = Entry::start();
    let mut connections: Vec<TcpStream> = (0..3)
        .flat_map(|_| [entry.admin, entry.directions])
        .map(|address| TcpStream::connect(address).unwrap())
        .collect();
    connections[0].write_all(b"GET /status HTTP/1.1\r\nhost: e\r\n").unwrap();
    connections[1].write_all(b"GET /directions?service=till HTTP/1.1\r\nhost: e\r\n\r\n").unwrap();
    connections[1].read_exact(&mut [0; 12]).unwrap();
    assert_eq!(entry.request("POST", "/stop", Some("secret")).0, 202);
    assert!(entry.wait_for_exit().success());
}
