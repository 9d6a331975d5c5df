//! Callers that ask one gateway for routes and record its answers.

use super::{
    node::NodeState,
    operator::Operator,
    target::{CALL_HEADER, Service},
};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::{io, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Pause between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a caller gives a call up.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// A target of the service ran the call.
    Served(Service),
    /// The gateway knows no such route.
    NoRoute,
    /// Another status, or none.
    Failed(Option<u16>),
}

/// A call that was made.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) node: Arc<NodeState>,
    /// Process of the gateway, `None` if it was replaced during the call.
    pub(crate) process: Option<u32>,
    pub(crate) route: Arc<str>,
    pub(crate) sent: Instant,
    pub(crate) received: Instant,
    pub(crate) answer: Answer,
}

/// Calls of all callers.
pub(crate) type Records = Mutex<Vec<CallRecord>>;

/// Makes calls to `node` until the task is dropped.
pub(crate) async fn keep_calling(
    node: Arc<NodeState>,
    operator: Arc<Operator>,
    records: Arc<Records>,
    seed: u64,
) {
    let mut random = Pcg64::seed_from_u64(seed.wrapping_mul(97) + u64::from(node.number));
    for number in 0_u64.. {
        let route = operator.random_route(&mut random);
        let process = node.process();
        let sent = Instant::now();
        let id = format!("{}-{number}", node.number);
        let result = timeout(CALL_TIMEOUT, call(&node, &route, &id)).await;
        let answer = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Failed(None),
        };
        let received = Instant::now();
        let process = (process == node.process()).then_some(process);
        let node = Arc::clone(&node);
        records.lock().push(CallRecord { node, process, route, sent, received, answer });
        sleep(CALL_INTERVAL).await;
    }
}

async fn call(node: &NodeState, route: &str, id: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(node.calls).await?;
    let head = format!(
        "GET /{route}/x HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{CALL_HEADER}: {id}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(match (status, Service::from_name(body)) {
        (Some(200), Some(service)) => Answer::Served(service),
        (Some(404), _) => Answer::NoRoute,
        _ => Answer::Failed(status),
    })
}
