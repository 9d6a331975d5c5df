//! Callers that keep their connection to one gateway and record its answers.

use super::call::Answer;
use azuretally_api::headers;
use parking_lot::Mutex;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Pause between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a caller gives a call up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Id of the next call in this process.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// A call that was made.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: u64,
    /// Address of the gateway.
    pub(crate) gateway: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) received: Instant,
    /// `None` if the connection ended or the caller gave the call up.
    pub(crate) answer: Option<Answer>,
}

impl CallRecord {
    pub(crate) fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }

    /// Returns whether the gateway says that the call was not run.
    pub(crate) fn is_refused(&self) -> bool {
        let reason = self.answer.as_ref().and_then(|a| a.header(headers::REASON));
        reason == Some(headers::NOT_RUN)
    }

    /// Returns the time after which the caller may retry.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let text = self.answer.as_ref()?.header(headers::RETRY_AFTER_MS)?;
        text.parse().ok().map(Duration::from_millis)
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.received - self.sent
    }
}

/// Calls of all callers.
pub(crate) type Records = Mutex<Vec<CallRecord>>;

/// Makes calls at `gateway` until the task is dropped.
pub(crate) async fn keep_calling(gateway: SocketAddr, records: Arc<Records>) {
    let mut connection = None;
    loop {
        let record = call(gateway, &mut connection).await;
        records.lock().push(record);
        sleep(CALL_INTERVAL).await;
    }
}

/// Makes one call at `gateway`, on `connection` if it is open.
pub(crate) async fn call(gateway: SocketAddr, connection: &mut Option<TcpStream>) -> CallRecord {
    let id = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let sent = Instant::now();
    let exchange = async {
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => TcpStream::connect(gateway).await?,
        };
        let head = format!("GET /look/x HTTP/1.1\r\nhost: test\r\n{}: {id}\r\n\r\n", headers::CALL);
        stream.write_all(head.as_bytes()).await?;
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = Answer::take(&mut bytes) {
                return io::Result::Ok((answer, stream));
            }
            if stream.read_buf(&mut bytes).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    };
    let answer = match timeout(CALL_TIMEOUT, exchange).await {
        Ok(Ok((answer, stream))) => {
            *connection = (!answer.is_last()).then_some(stream);
            Some(answer)
        }
        Ok(Err(_)) | Err(_) => None,
    };
    CallRecord { id, gateway, sent, received: Instant::now(), answer }
}
