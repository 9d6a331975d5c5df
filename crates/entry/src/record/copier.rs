//! Copies the lines of this incarnation to a peer in another failure domain.
//!
//! At most [`MAX_BATCH_BYTES`] are sent in each [`BATCH_INTERVAL`], which bounds the cost of
//! copying whatever the load. Lines that are evicted from memory before they are copied are
//! counted.

use super::copies;
use crate::context::Context;
use azuretally_api::{headers, record::RecordLine};
use bytes::Bytes;
use http::{Request, StatusCode, header::HOST};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, interval, timeout},
};

/// Interval between messages.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of a message, in bytes, unless a single line is longer.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// Maximum number of lines in a message.
const MAX_BATCH_LINES: usize = 200;
/// Size of the comma before a further line and of the closing bracket of a message, in bytes.
const SEPARATOR_BYTES: usize = 2;
/// Timeout for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which no further message is sent when the process shuts down.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// When the process shuts down, a failed message is tried again after [`BATCH_INTERVAL`] divided by
/// this number.
const FINISH_RETRY_DIVISOR: u32 = 4;

/// Copies lines to one peer at a time.
#[derive(Debug)]
pub(super) struct Copier<'a> {
    context: &'a Context,
    /// Sequence number of the last copied line.
    sent: u64,
    /// Host name of the peer that receives the copies.
    peer: Option<Arc<str>>,
}

impl<'a> Copier<'a> {
    pub(super) fn new(context: &'a Context) -> Self {
        Self { context, sent: 0, peer: None }
    }

    /// Copies lines until the process shuts down.
    pub(super) async fn run(&mut self) {
        let mut interval = interval(BATCH_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.context.shutdown.cancelled() => return,
            }
            self.send_batch().await;
        }
    }

    /// Copies the last lines. Starts no message after [`FINISH_TIMEOUT`].
    pub(super) async fn finish(mut self) {
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while self.sent < self.context.journal.status().last && Instant::now() < deadline {
            if !self.send_batch().await {
                tokio::time::sleep(BATCH_INTERVAL / FINISH_RETRY_DIVISOR).await;
            }
        }
    }

    /// Sends one message if there are lines to copy and a suitable peer. Returns whether the peer
    /// accepted it.
    async fn send_batch(&mut self) -> bool {
        let lines = self.context.journal.page(self.sent, MAX_BATCH_LINES).lines;
        let Some((body, first, last)) = encode_batch(&lines) else { return false };
        let Some(address) = self.choose_peer() else { return false };
        let mac = copies::sign(&self.context.peer_key, &body);
        let is_accepted =
            matches!(timeout(SEND_TIMEOUT, post(address, body, &mac)).await, Ok(true));
        if is_accepted {
            self.context.journal.mark_copied(last, first - self.sent - 1);
            self.sent = last;
        } else {
            log::debug!("record: peer at {address} did not accept the copy");
            self.peer = None;
        }
        is_accepted
    }

    /// Returns the address of the current peer while it is usable, otherwise that of a random
    /// usable peer in another failure domain.
    fn choose_peer(&mut self) -> Option<SocketAddr> {
        let view = self.context.view();
        let own_domain = &self.context.local.failure_domain;
        let candidates: Vec<_> = view
            .entries
            .iter()
            .filter(|(_, e)| e.usable && e.failure_domain != *own_domain)
            .collect();
        let current = candidates.iter().find(|(host, _)| Some(*host) == self.peer.as_ref());
        let index = rand::random::<u32>() as usize % candidates.len().max(1);
        let (host, entry) = current.or(candidates.get(index))?;
        self.peer = Some(Arc::clone(host));
        Some(entry.call_address)
    }
}

/// Encodes as many of the first lines as fit into a message. Returns the body with the first and
/// last sequence number in it, or `None` if there are no lines.
fn encode_batch(lines: &[RecordLine]) -> Option<(Vec<u8>, u64, u64)> {
    let mut body = vec![b'['];
    let (first, mut last) = (lines.first()?.sequence, 0);
    for line in lines {
        let text = serde_json::to_vec(line).ok()?;
        if last > 0 && body.len() + text.len() + SEPARATOR_BYTES > MAX_BATCH_BYTES {
            break;
        }
        if last > 0 {
            body.push(b',');
        }
        body.extend(text);
        last = line.sequence;
    }
    body.push(b']');
    Some((body, first, last))
}

/// Posts a message. Returns whether the peer accepted it.
async fn post(address: SocketAddr, body: Vec<u8>, mac: &str) -> bool {
    let request = Request::post(headers::COPIES_PATH)
        .header(HOST, address.to_string())
        .header(headers::COPIES_MAC, mac)
        .body(Full::new(Bytes::from(body)));
    let (Ok(request), Ok(stream)) = (request, TcpStream::connect(address).await) else {
        return false;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    let exchange = async move {
        let response = sender.send_request(request).await;
        response.is_ok_and(|r| r.status() == StatusCode::NO_CONTENT)
    };
    tokio::join!(exchange, connection).0
}
