//! Stand-in for the platform's metadata store: `kv-range` and `kv-watch`.

use crate::http;
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Changes by revision; the value is missing if the key was deleted.
    events: Vec<(u64, String, Option<String>)>,
    /// When the leases of keys run out.
    leases: BTreeMap<String, Instant>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Writes a value, which expires after `lease` if there is one.
    pub fn put(&self, key: &str, value: &str, lease: Option<Duration>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.to_owned(), revision));
        state.events.push((revision, key.to_owned(), Some(value.to_owned())));
        if let Some(lease) = lease {
            state.leases.insert(key.to_owned(), Instant::now() + lease);
        }
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.leases.remove(key);
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    pub fn has(&self, key: &str) -> bool {
        self.state.lock().unwrap().items.contains_key(key)
    }

    fn expire(&self) {
        let now = Instant::now();
        let due: Vec<String> = {
            let state = self.state.lock().unwrap();
            state.leases.iter().filter(|(_, at)| **at <= now).map(|(key, _)| key.clone()).collect()
        };
        for key in due {
            self.delete(&key);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let get = |name: &str| {
                query.split('&').find_map(|pair| {
                    let (known, value) = pair.split_once('=')?;
                    (known == name).then(|| decode(value))
                })
            };
            let body = match path {
                "/v1/kv-range" => self.range(&get("prefix").unwrap_or_default(), get("after")),
                "/v1/kv-watch" => {
                    let after = get("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                    let wait = get("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(&get("prefix").unwrap_or_default(), after, wait)
                }
                _ => "{}".to_owned(),
            };
            let headers = [("Content-Type", "application/json".to_owned())];
            if writer.write_all(&http::response("200 OK", &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> String {
        let state = self.state.lock().unwrap();
        let keys = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let keys = keys.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let items: Vec<String> =
            keys.map(|(key, (value, revision))| item(key, value, *revision)).collect();
        let revision = state.revision;
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"current_rev\":{revision}}}",
            items.join(",")
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let events =
                state.events.iter().filter(|(r, key, _)| *r > after && key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let revision = state.revision;
                return format!("{{\"events\":[{}],\"current_rev\":{revision}}}", events.join(","));
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

pub fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).expect("the address is free")
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
        base64(value.as_bytes())
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |n, i| n << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

/// Decodes percent signs and pluses of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
