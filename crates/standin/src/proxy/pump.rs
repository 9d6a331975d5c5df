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
/// Interval between two writes on a link with limited throughput.
const DRIP_PERIOD: Duration = Duration::from_millis(50);

/// State shared by all connections of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkState {
    pub(super) faults: Faults,
    /// Connections with a lower number discard all bytes.
    pub(super) silent_below: u64,
}

/// One direction of a connection.
#[derive(Debug)]
pub(super) struct Direction {
    pub(super) state: watch::Receiver<LinkState>,
    /// Number of the connection.
    pub(super) number: u64,
}

impl Direction {
    /// Forwards bytes of the client until either end closes, and tells `asked` of each part.
    pub(super) async fn pump_to_upstream(
        self,
        input: ReadHalf<'_>,
        output: WriteHalf<'_>,
        asked: mpsc::UnboundedSender<()>,
    ) {
        let (sender, mut receiver) = mpsc::channel(QUEUE_CHUNKS);
        let read = read(input, sender, self.state.clone());
        let write = async {
            let mut output = output;
            while let Some(chunk) = receiver.recv().await {
                // The other direction ends first if the target closes.
                let _ = asked.send(());
                if self.write(&mut output, chunk, |f| f.drop_forward).await.is_none() {
                    return;
                }
            }
            self.close(output, |f| f.drop_forward).await;
        };
        tokio::join!(read, write);
    }

    /// Forwards bytes of the target until either end closes. Each message of `asked` stands for a part of a
    /// request.
    pub(super) async fn pump_to_client(
        self,
        input: ReadHalf<'_>,
        output: WriteHalf<'_>,
        mut asked: mpsc::UnboundedReceiver<()>,
    ) {
        let (sender, mut receiver) = mpsc::channel(QUEUE_CHUNKS);
        let read = read(input, sender, self.state.clone());
        let write = async {
            let mut output = output;
            let mut latest = BytesMut::new();
            loop {
                let chunk = tokio::select! {
                    biased;
                    Some(()) = asked.recv() => {
                        (Instant::now(), latest.split().freeze())
                    }
                    chunk = receiver.recv() => match chunk {
                        Some(chunk) => {
                            if self.state.borrow().faults.repeat_answers {
                                latest.extend_from_slice(&chunk.1);
                            }
                            chunk
                        }
                        None => break,
                    },
                };
                if self.write(&mut output, chunk, |f| f.drop_backward).await.is_none() {
                    return;
                }
            }
            self.close(output, |f| f.drop_backward).await;
        };
        tokio::join!(read, write);
    }

    /// Writes a chunk when it is due, or discards it while the connection is silenced or `is_dropped` holds
    /// for the faults of the link. Returns `None` if the connection has failed.
    async fn write<IsDropped>(
        &self,
        output: &mut WriteHalf<'_>,
        (due, chunk): (Instant, Bytes),
        is_dropped: IsDropped,
    ) -> Option<()>
    where
        IsDropped: Fn(&Faults) -> bool,
    {
        time::sleep_until(due).await;
        if self.is_silent(&self.state.borrow(), &is_dropped) {
            return Some(());
        }
        write_throttled(output, chunk, &self.state).await.ok()
    }

    /// Closes `output`. A silenced connection must not reveal to either side that the other one has closed.
    async fn close<IsDropped>(&self, mut output: WriteHalf<'_>, is_dropped: IsDropped)
    where
        IsDropped: Fn(&Faults) -> bool,
    {
        let mut state = self.state.clone();
        let _ = state.wait_for(|s| !self.is_silent(s, &is_dropped)).await;
        let _ = output.shutdown().await;
    }

    fn is_silent<IsDropped>(&self, state: &LinkState, is_dropped: &IsDropped) -> bool
    where
        IsDropped: Fn(&Faults) -> bool,
    {
        self.number < state.silent_below || is_dropped(&state.faults)
    }
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
