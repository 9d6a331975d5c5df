//! Sends the lines of this incarnation to a peer in another failure domain.
//!
//! At most [`BATCH_BYTES`] go out in each [`BATCH_INTERVAL`], so that the copy has a bound whatever
//! the load is. Lines that leave memory before they were copied are counted.

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

/// Time between two messages.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of one message.
const BATCH_BYTES: usize = 48 * 1024;
/// Lines of one message.
const BATCH_LINES: usize = 200;
/// Time for one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the last lines at the end of the process.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Copies lines until the end of the process.
#[derive(Debug)]
pub(super) struct Copier<'a> {
    context: &'a Context,
    sent: u64,
    peer: Option<Arc<str>>,
}

impl<'a> Copier<'a> {
    pub(super) fn new(context: &'a Context) -> Self {
        Self { context, sent: 0, peer: None }
    }

    /// Copies until the end is asked for.
    pub(super) async fn run(&mut self) {
        let mut interval = interval(BATCH_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.context.shutdown.cancelled() => return,
            }
            self.send().await;
        }
    }

    /// Copies the last lines.
    pub(super) async fn finish(mut self) {
        let end = Instant::now() + END_TIMEOUT;
        while self.sent < self.context.journal.status().last && Instant::now() < end {
            if !self.send().await {
                tokio::time::sleep(BATCH_INTERVAL / 4).await;
            }
        }
    }

    /// Sends one message, if there is anything to send and a peer for it.
    async fn send(&mut self) -> bool {
        let lines = self.context.journal.page(self.sent, BATCH_LINES).lines;
        let Some((body, first, last)) = message(&lines) else { return false };
        let Some(address) = self.choose() else { return false };
        let mac = copies::sign(&self.context.peer_key, &body);
        let taken = matches!(timeout(SEND_TIMEOUT, post(address, body, &mac)).await, Ok(true));
        if taken {
            self.context.journal.mark_copied(last, first - self.sent - 1);
            self.sent = last;
        } else {
            log::debug!("record: peer at {address} took no copy");
            self.peer = None;
        }
        taken
    }

    /// The peer chosen before while it is in use, else one at random in another failure domain.
    fn choose(&mut self) -> Option<SocketAddr> {
        let view = self.context.view();
        let own = &self.context.local.failure_domain;
        let fit: Vec<_> =
            view.entries.iter().filter(|(_, e)| e.usable && e.failure_domain != *own).collect();
        let kept = fit.iter().find(|(host, _)| Some(*host) == self.peer.as_ref());
        let index = rand::random::<u32>() as usize % fit.len().max(1);
        let (host, entry) = kept.or(fit.get(index))?;
        self.peer = Some(Arc::clone(host));
        Some(entry.call_address)
    }
}

/// The body of a message of the first lines, with the first and last sequence number in it.
fn message(lines: &[RecordLine]) -> Option<(Vec<u8>, u64, u64)> {
    let mut body = vec![b'['];
    let (first, mut last) = (lines.first()?.sequence, 0);
    for line in lines {
        let text = serde_json::to_vec(line).ok()?;
        if last > 0 && body.len() + text.len() + 2 > BATCH_BYTES {
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

/// Whether the peer took the message.
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
        let answer = sender.send_request(request).await;
        answer.is_ok_and(|a| a.status() == StatusCode::NO_CONTENT)
    };
    tokio::join!(exchange, connection).0
}
