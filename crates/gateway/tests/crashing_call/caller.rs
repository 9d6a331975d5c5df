//! Callers, and the calls that they repeat.

use super::{call::Answer, deployment::LOOK_ROUTE, peer_link::connect_from, target::key};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};

/// Time within which a caller wants an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a crashing call comes again.
const CRASH_INTERVAL: Duration = Duration::from_millis(300);
/// Time before a proper call is made, in ms, and before it is sent again.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 5..=40;
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a caller sends a proper call again.
const RETRY_TIME: Duration = Duration::from_secs(2);
/// Size of the parts in which a body is sent, in bytes.
const CHUNK_BYTES: usize = 16_384;

/// Number of the next arrival of a call in this process.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A call, which may be made many times.
#[derive(Clone, Debug)]
pub(crate) struct RepeatedCall {
    method: &'static str,
    path: Arc<str>,
    body: Arc<[u8]>,
    is_chunked: bool,
}

impl RepeatedCall {
    /// A call without a body.
    pub(crate) fn get(path: &str) -> Self {
        Self { method: "GET", path: path.into(), body: [].into(), is_chunked: false }
    }

    /// A call with a body.
    pub(crate) fn post(path: &str, body: Vec<u8>) -> Self {
        Self { method: "POST", path: path.into(), body: body.into(), is_chunked: false }
    }

    /// Sends the body in chunks.
    pub(crate) fn chunked(mut self) -> Self {
        self.is_chunked = true;
        self
    }

    /// Returns what recognizes the call.
    pub(crate) fn key(&self) -> String {
        key(self.method, &self.path, &String::from_utf8_lossy(&self.body))
    }

    fn is_idempotent(&self) -> bool {
        self.path.split('/').nth(1) == Some(LOOK_ROUTE)
    }

    async fn write(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let Self { method, path, body, is_chunked } = self;
        let length = match (is_chunked, body.len()) {
            (true, _) => "transfer-encoding: chunked\r\n".to_owned(),
            (false, 0) => String::new(),
            (false, bytes) => format!("content-length: {bytes}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n{length}\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for part in body.chunks(CHUNK_BYTES) {
            if *is_chunked {
                stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await?;
            }
            stream.write_all(part).await?;
            if *is_chunked {
                stream.write_all(b"\r\n").await?;
            }
        }
        if *is_chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// One arrival of a call.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) key: Arc<str>,
    pub(crate) id: Arc<str>,
    pub(crate) sent: Instant,
    pub(crate) elapsed: Duration,
    /// Index of the gateway.
    pub(crate) gateway: usize,
    /// Whether the call had been sent before.
    pub(crate) is_repeat: bool,
    pub(crate) answer: Option<Answer>,
}

impl Arrival {
    pub(crate) fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|a| a.status == 200 && a.is_complete)
    }

    /// Returns whether the answer promises that this arrival never runs.
    pub(crate) fn is_refused(&self) -> bool {
        self.answer.as_ref().is_some_and(|a| {
            [408, 421, 429, 503].contains(&a.status)
                || a.header("x-azuretally-outcome") == Some("not-run")
        })
    }

    /// Describes the arrival and its answer.
    pub(crate) fn describe(&self) -> String {
        let Self { key, id, gateway, elapsed, answer, .. } = self;
        let answer = answer.as_ref().map(Answer::to_string);
        format!("{key} id={id} gateway={gateway} after {elapsed:?}: {answer:?}")
    }

    /// Returns the status, 0 if there is no complete answer.
    pub(crate) fn status(&self) -> u16 {
        self.answer.as_ref().filter(|a| a.is_complete).map_or(0, |a| a.status)
    }
}

/// Sends calls to random gateways.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    host: IpAddr,
    gateways: Arc<[SocketAddr]>,
    random: Pcg64,
}

impl Caller {
    pub(crate) fn new(host: IpAddr, gateways: Arc<[SocketAddr]>, seed: u64) -> Self {
        Self { host, gateways, random: Pcg64::seed_from_u64(seed) }
    }

    /// Makes `call` once at the gateway `gateway`, on `connection` if it is open.
    pub(crate) async fn send(
        &self,
        call: &RepeatedCall,
        gateway: usize,
        connection: &mut Option<TcpStream>,
        is_repeat: bool,
    ) -> Arrival {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = Arc::<str>::from(format!("call-{number}"));
        let sent = Instant::now();
        let exchange = async {
            let mut stream = match connection.take() {
                Some(stream) => stream,
                None => connect_from(self.host, self.gateways[gateway]).await?,
            };
            let (mut reader, mut writer) = (Vec::new(), Ok(()));
            // The answer may come before the end of the body.
            if call.write(&mut stream, &id).await.is_err() {
                writer = Err(io::ErrorKind::BrokenPipe);
            }
            loop {
                if let Some(answer) = Answer::take(&mut reader) {
                    let is_open = writer.is_ok() && !answer.is_last();
                    return io::Result::Ok((answer, is_open.then_some(stream)));
                }
                if stream.read_buf(&mut reader).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        };
        let answer = match timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok((answer, open))) => {
                *connection = open;
                Some(answer)
            }
            Ok(Err(_)) | Err(_) => None,
        };
        let key = Arc::from(call.key());
        Arrival { key, id, sent, elapsed: sent.elapsed(), gateway, is_repeat, answer }
    }

    /// Makes a crashing call again and again until `end`, each time on a connection of its own.
    pub(crate) async fn keep_crashing(mut self, call: RepeatedCall, end: Instant) -> Vec<Arrival> {
        let mut arrivals = JoinSet::new();
        let mut is_repeat = false;
        while Instant::now() < end {
            let gateway = self.random.random_range(0..self.gateways.len());
            let (caller, call) = (self.clone(), call.clone());
            arrivals.spawn(async move { caller.send(&call, gateway, &mut None, is_repeat).await });
            is_repeat = true;
            sleep(CRASH_INTERVAL).await;
        }
        arrivals.join_all().await
    }

    /// Makes proper calls until `end` on kept connections. A call that is not served is sent again
    /// if it may be, at another gateway.
    pub(crate) async fn keep_calling(
        mut self,
        calls: Arc<[RepeatedCall]>,
        end: Instant,
    ) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut connection = None;
        let mut gateway = self.random.random_range(0..self.gateways.len());
        while Instant::now() < end {
            let pause = self.random.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            let call = &calls[self.random.random_range(0..calls.len())];
            let first = Instant::now();
            let mut is_repeat = false;
            loop {
                let arrival = self.send(call, gateway, &mut connection, is_repeat).await;
                let is_served = arrival.is_served();
                let may_repeat = call.is_idempotent() || arrival.is_refused();
                arrivals.push(arrival);
                if is_served {
                    break;
                }
                connection = None;
                gateway = self.random.random_range(0..self.gateways.len());
                if !may_repeat || first.elapsed() >= RETRY_TIME {
                    break;
                }
                is_repeat = true;
                sleep(RETRY_PAUSE).await;
            }
        }
        arrivals
    }

    /// Makes `call` at `gateway` until it is served or `end`. Returns the last arrival.
    pub(crate) async fn call_until_served(
        &self,
        call: &RepeatedCall,
        gateway: usize,
        end: Instant,
    ) -> Option<Arrival> {
        let mut last = None;
        while Instant::now() < end {
            let made = timeout_at(end, self.send(call, gateway, &mut None, last.is_some())).await;
            let Ok(arrival) = made else { break };
            let is_served = arrival.is_served();
            last = Some(arrival);
            if is_served {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        last
    }
}

/// Counts `arrivals` by the status of their answers, 0 for none.
pub(crate) fn count_statuses<'a, Arrivals>(arrivals: Arrivals) -> IndexMap<u16, usize>
where
    Arrivals: IntoIterator<Item = &'a Arrival>,
{
    let mut counts = IndexMap::new();
    for arrival in arrivals {
        *counts.entry(arrival.status()).or_default() += 1;
    }
    counts.sort_keys();
    counts
}

/// Returns the part of `arrivals` that was served, 1 if there is none.
pub(crate) fn served_share<'a, Arrivals>(arrivals: Arrivals) -> f64
where
    Arrivals: IntoIterator<Item = &'a Arrival>,
{
    let (mut served, mut all) = (0_u32, 0_u32);
    for arrival in arrivals {
        all += 1;
        served += u32::from(arrival.is_served());
    }
    if all == 0 { 1.0 } else { f64::from(served) / f64::from(all) }
}
