//! Targets that run calls and record what they have got.

use super::call::{EARLY_ROUTE, expected_body, head_end, header};
use azuretally_policy::balance::TargetRecord;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Path at which targets report their load.
pub(crate) const PROBE_PATH: &str = "/load";
/// Calls that a target runs concurrently.
pub(crate) const SLOTS: u32 = 8;

/// What targets have done with a call, which may have run more than once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// When the first target got the call.
    pub(crate) started: Instant,
    /// When the first answer was written.
    pub(crate) answered: Option<Instant>,
}

/// Calls that targets have got, by id.
pub(crate) type Runs = Mutex<IndexMap<String, Run>>;

/// A target process of the tests.
#[derive(Debug)]
pub(crate) struct Target {
    /// Record with which the target is published.
    pub(crate) record: TargetRecord,
    running: AtomicU32,
    runs: Arc<Runs>,
    /// Cancelled when the planned stop of the target begins: it resets idle connections and closes
    /// the others after their answer.
    pub(crate) leaving: CancellationToken,
}

/// A request as a target has read it.
#[derive(Debug)]
struct Request {
    id: String,
    path: String,
    /// Bytes of the body that were not read together with the head.
    unread: usize,
}

impl Target {
    pub(crate) fn new(record: TargetRecord, runs: Arc<Runs>) -> Self {
        let leaving = CancellationToken::new();
        Self { record, running: AtomicU32::new(0), runs, leaving }
    }

    /// Serves calls until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        let accept = async {
            loop {
                tokio::select! {
                    () = self.leaving.cancelled() => break,
                    Some(_) = connections.join_next() => {}
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn(Arc::clone(&self).serve(stream));
                    }
                }
            }
            drop(listener);
            while connections.join_next().await.is_some() {}
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = accept => {}
        }
        connections.shutdown().await;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        loop {
            let request = tokio::select! {
                () = self.leaving.cancelled() => {
                    let _ = stream.set_zero_linger();
                    return;
                }
                request = read_request(&mut stream) => request,
            };
            let Some(request) = request else { return };
            if self.answer(&mut stream, request).await.is_none() || self.leaving.is_cancelled() {
                return;
            }
        }
    }

    /// Runs a call and writes the answer. Returns `None` if the connection has ended.
    async fn answer(&self, stream: &mut TcpStream, request: Request) -> Option<()> {
        let Request { id, path, unread } = request;
        let mut parts = path.split('/').skip(1);
        let route = parts.next().unwrap_or_default();
        let mut number = || parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let (service_ms, bytes) = (number(), number());
        if path == PROBE_PATH {
            return self.write_answer(stream, &id, &[]).await;
        }
        let run = Run { started: Instant::now(), answered: None };
        self.runs.lock().entry(id.clone()).or_insert(run);
        let is_early = route == EARLY_ROUTE;
        if !is_early {
            skip_body(stream, unread).await?;
        }
        let body = expected_body(&id, usize::try_from(bytes).unwrap_or(0));
        self.running.fetch_add(1, Ordering::SeqCst);
        sleep(Duration::from_millis(service_ms)).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let Some(run) = self.runs.lock().get_mut(&id) {
            run.answered.get_or_insert_with(Instant::now);
        }
        self.write_answer(stream, &id, &body).await?;
        if is_early { skip_body(stream, unread).await } else { Some(()) }
    }

    async fn write_answer(&self, stream: &mut TcpStream, id: &str, body: &[u8]) -> Option<()> {
        let running = self.running.load(Ordering::SeqCst);
        let end = if self.leaving.is_cancelled() { "connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-azuretally-call: {id}\r\nx-target: {}\r\n\
             x-target-load: {running},0,{SLOTS},100\r\n{end}content-length: {}\r\n\r\n",
            self.record.name,
            body.len(),
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()
    }
}

/// Reads the head of a request and what arrives together with it.
async fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = head_end(&bytes) {
            break end;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0_usize);
    Some(Request {
        id: header(&head, "x-azuretally-call").unwrap_or_default().to_owned(),
        path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
        unread: length.saturating_sub(bytes.len() - end),
    })
}

/// Reads and discards `bytes` bytes. Returns `None` if the connection ends before.
async fn skip_body(stream: &mut TcpStream, bytes: usize) -> Option<()> {
    let mut left = bytes;
    let mut buffer = vec![0; 16_384];
    while left > 0 {
        let size = left.min(buffer.len());
        match stream.read(&mut buffer[..size]).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => left -= read,
        }
    }
    Some(())
}
