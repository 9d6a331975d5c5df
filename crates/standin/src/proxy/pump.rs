//! Forwards the bytes of one direction of a connection.

use super::link::Faults;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::{mpsc, watch},
    time::{self, Instant},
};

/// Size of the read buffer of one direction.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that may wait for the delay of a link before reading stops.
const QUEUE_CHUNKS: usize = 64;
/// Beginning of an answer whose last header does not end.
const ENDLESS_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-more: ";
/// Interval between two writes on a link with limited throughput.
const DRIP_PERIOD: Duration = Duration::from_millis(50);

/// State shared by all connections of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkState {
    pub(super) faults: Faults,
    /// Connections with a lower number discard all bytes.
    pub(super) silent_below: u64,
}

/// What the two directions of a connection tell each other, so that answers can be repeated.
#[derive(Debug)]
pub(super) enum Turn {
    /// The direction to the target, which tells of each part of a request.
    Requests(mpsc::UnboundedSender<()>),
    /// The direction to the client, with the answer since the last part of a request.
    Answers(mpsc::UnboundedReceiver<()>, BytesMut),
}

impl Turn {
    /// Returns the next chunk to be written: of those in `receiver`, or the answer that the next request has
    /// overtaken once more. Returns `None` at the end. Answers are kept only while they are `repeated`.
    async fn next<Repeated>(
        &mut self,
        receiver: &mut mpsc::Receiver<(Instant, Bytes)>,
        repeated: Repeated,
    ) -> Option<(Instant, Bytes)>
    where
        Repeated: Fn() -> bool,
    {
        match self {
            Self::Requests(asked) => {
                let chunk = receiver.recv().await?;
                // The other direction ends first if the target closes.
                let _ = asked.send(());
                Some(chunk)
            }
            Self::Answers(asked, latest) => tokio::select! {
                biased;
                Some(()) = asked.recv() => Some((Instant::now(), latest.split().freeze())),
                chunk = receiver.recv() => {
                    let (due, chunk) = chunk?;
                    if repeated() {
                        latest.extend_from_slice(&chunk);
                    }
                    Some((due, chunk))
                }
            },
        }
    }
}

/// Forwards bytes from `input` to `output` until either ends. Bytes are discarded while the
/// connection is silenced or `is_dropped` holds for the faults of the link.
pub(super) async fn pump<IsDropped>(
    input: ReadHalf<'_>,
    output: WriteHalf<'_>,
    state: watch::Receiver<LinkState>,
    number: u64,
    turn: Turn,
    is_dropped: IsDropped,
) where
    IsDropped: Fn(&Faults) -> bool,
{
    let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
    let read = read(input, sender, state.clone());
    let is_silent = |s: &LinkState| number < s.silent_below || is_dropped(&s.faults);
    let write = write(output, receiver, state, turn, is_silent);
    tokio::join!(read, write);
}

async fn read(
    mut input: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let n = tokio::select! {
            () = sender.closed() => return,
            n = input.read(&mut buffer) => n,
        };
        let Ok(n @ 1..) = n else { return };
        let delay = Duration::from_millis(state.borrow().faults.delay_ms);
        let chunk = Bytes::copy_from_slice(&buffer[..n]);
        if sender.send((Instant::now() + delay, chunk)).await.is_err() {
            return;
        }
    }
}

async fn write<IsSilent>(
    mut output: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut state: watch::Receiver<LinkState>,
    mut turn: Turn,
    is_silent: IsSilent,
) where
    IsSilent: Fn(&LinkState) -> bool,
{
    let repeated = || state.borrow().faults.repeat_answers;
    while let Some((due, chunk)) = turn.next(&mut receiver, repeated).await {
        time::sleep_until(due).await;
        if is_silent(&state.borrow()) {
            continue;
        }
        let faults = state.borrow().faults;
        if let Turn::Answers(..) = turn {
            if faults.truncate_answers_to > 0 {
                let length = chunk.len().min(faults.truncate_answers_to);
                // The client may have left.
                let _ = output.write_all(&chunk[..length]).await;
                let _ = output.shutdown().await;
                return;
            }
            if faults.endless_answers {
                write_without_end(&mut output).await;
                return;
            }
        }
        if write_throttled(&mut output, chunk, &state).await.is_err() {
            return;
        }
    }
    // A silenced connection must not reveal to either side that the other one has closed.
    let _ = state.wait_for(|s| !is_silent(s)).await;
    let _ = output.shutdown().await;
}

/// Writes the beginning of an answer with a header that does not end, until the connection does.
async fn write_without_end(output: &mut WriteHalf<'_>) {
    let mut part = ENDLESS_HEAD;
    while output.write_all(part).await.is_ok() {
        part = &[b'x'; CHUNK_BYTES];
    }
}

async fn write_throttled(
    output: &mut WriteHalf<'_>,
    mut chunk: Bytes,
    state: &watch::Receiver<LinkState>,
) -> std::io::Result<()> {
    while !chunk.is_empty() {
        let bytes_per_s = state.borrow().faults.drip_bytes_per_s;
        if bytes_per_s == 0 {
            return output.write_all(&chunk).await;
        }
        let period_bytes = bytes_per_s as f64 * DRIP_PERIOD.as_secs_f64();
        let n = (period_bytes.ceil() as usize).clamp(1, chunk.len());
        output.write_all(&chunk.split_to(n)).await?;
        time::sleep(DRIP_PERIOD).await;
    }
    Ok(())
}
