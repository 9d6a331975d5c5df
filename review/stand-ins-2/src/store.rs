//! Stand-in for the platform's metadata store: items, lists and watches.

use crate::http::{Partition, Request, Response, serve};
use std::{
    collections::{BTreeMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Size of a page of a list, in items and in bytes.
const PAGE: (usize, usize) = (500, 1_000_000);
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

struct Event {
    revision: u64,
    at: Instant,
    json: Arc<str>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    /// Revision up to which the history has been discarded.
    discarded: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            events: VecDeque::new(),
            discarded: 100,
        };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), address });
        let served = Arc::clone(&store);
        serve(listener, Partition::default(), move |request| served.handle(&request));
        store
    }

    /// Writes an item and returns its revision. The return is the confirmation.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().expect("the state");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let value = base64(value);
        let json = item_json(key, &value, revision, created).into();
        state.items.insert(key.to_owned(), Item { value, revision, created });
        state.events.push_back(Event { revision, at: Instant::now(), json });
        while state.events.front().is_some_and(|event| event.at.elapsed() > HISTORY) {
            let event = state.events.pop_front().expect("an event");
            state.discarded = event.revision;
        }
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("the state");
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let json = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}").into();
        state.events.push_back(Event { revision, at: Instant::now(), json });
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        std::thread::sleep(ANSWER_TIME);
        let response = match request.path() {
            "/v1/kv-range" => self.range(request),
            "/v1/kv-watch" => self.watch(request),
            _ => return Response::new(404, Vec::new()),
        };
        response.with("Content-Type", "application/json").with("Store-Era", 1)
    }

    fn range(&self, request: &Request) -> Response {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after");
        let state = self.state.lock().expect("the state");
        let matching = state.items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
        });
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in matching {
            if items.len() >= PAGE.0 || (bytes > 0 && bytes + item.value.len() > PAGE.1) {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, &item.value, item.revision, item.created));
        }
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        Response::new(200, body.into_bytes())
    }

    fn watch(&self, request: &Request) -> Response {
        let after = request.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = request.query("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("the state");
        loop {
            if after < state.discarded {
                return Response::new(410, Vec::new());
            }
            let left = end.saturating_duration_since(Instant::now());
            if state.revision > after || left.is_zero() {
                let later = state.events.iter().filter(|event| event.revision > after);
                let events: Vec<&str> = later.map(|event| &*event.json).collect();
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Response::new(200, body.into_bytes());
            }
            state = self.changed.wait_timeout(state, left).expect("the state").0;
        }
    }
}

fn item_json(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index > part.len() { '=' } else { char::from(digit) });
        }
    }
    text
}
