//! Moves the bytes of one direction of one connection.

use super::link::Faults;
use bytes::Bytes;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::{mpsc, watch},
    time::{self, Instant},
};

const CHUNK_BYTES: usize = 16 * 1024;
const QUEUED_CHUNKS: usize = 64;
const DRIP_PERIOD: Duration = Duration::from_millis(50);

/// What holds for all connections of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Conditions {
    pub(super) faults: Faults,
    /// Connections with a lower number are silent for good.
    pub(super) silent_below: u64,
}

/// Moves bytes from `input` to `output` until either ends.
pub(super) async fn pump<Dropped>(
    input: ReadHalf<'_>,
    output: WriteHalf<'_>,
    conditions: watch::Receiver<Conditions>,
    number: u64,
    dropped: Dropped,
) where
    Dropped: Fn(&Faults) -> bool,
{
    let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
    let read = read(input, sender, conditions.clone());
    let write = write(output, receiver, conditions, number, dropped);
    tokio::join!(read, write);
}

async fn read(
    mut input: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    conditions: watch::Receiver<Conditions>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let n = tokio::select! {
            () = sender.closed() => return,
            n = input.read(&mut buffer) => n,
        };
        let Ok(n @ 1..) = n else { return };
        let delay = Duration::from_millis(conditions.borrow().faults.delay_ms);
        let chunk = Bytes::copy_from_slice(&buffer[..n]);
        if sender.send((Instant::now() + delay, chunk)).await.is_err() {
            return;
        }
    }
}

async fn write<Dropped>(
    mut output: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    conditions: watch::Receiver<Conditions>,
    number: u64,
    dropped: Dropped,
) where
    Dropped: Fn(&Faults) -> bool,
{
    let silent = |c: &Conditions| number < c.silent_below || dropped(&c.faults);
    while let Some((due, chunk)) = receiver.recv().await {
        time::sleep_until(due).await;
        if silent(&conditions.borrow()) {
            continue;
        }
        if send(&mut output, chunk, &conditions).await.is_err() {
            return;
        }
    }
    // A silent connection tells neither side that the other has closed.
    let mut conditions = conditions;
    let _ = conditions.wait_for(|c| !silent(c)).await;
    let _ = output.shutdown().await;
}

async fn send(
    output: &mut WriteHalf<'_>,
    mut chunk: Bytes,
    conditions: &watch::Receiver<Conditions>,
) -> std::io::Result<()> {
    while !chunk.is_empty() {
        let rate = conditions.borrow().faults.drip_bytes_per_s;
        if rate == 0 {
            return output.write_all(&chunk).await;
        }
        let share = rate as f64 * DRIP_PERIOD.as_secs_f64();
        let n = (share.ceil() as usize).clamp(1, chunk.len());
        output.write_all(&chunk.split_to(n)).await?;
        time::sleep(DRIP_PERIOD).await;
    }
    Ok(())
}
