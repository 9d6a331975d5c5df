//! Non-blocking logging to standard output.
//!
//! Lines are queued in a bounded buffer that a thread writes out. If the reader of the output stops
//! reading, lines are dropped and the process does not wait. The number of dropped lines is logged
//! once the reader continues.

use crate::{StartError, settings::Settings};
use error_stack::{Report, ResultExt};
use parking_lot::{Condvar, Mutex};
use std::{
    io::{self, Write},
    mem,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Capacity of the buffer, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;
/// Largest write to a pipe that is atomic, in bytes (`PIPE_BUF`).
const ATOMIC_WRITE_BYTES: usize = 4_096;
/// Time for which lines are collected before they are written, to reduce the number of writes.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Number of times that closing the log checks whether the thread has ended, before it gives up.
const CLOSE_CHECKS: i32 = 10;
/// Time between two of these checks.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    /// Lines dropped since the last batch.
    lost: u64,
    closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

/// Queues log lines without blocking; lines are dropped while the buffer is full.
#[derive(Clone, Debug, Default)]
pub struct LineSink {
    shared: Arc<Shared>,
    /// Start of a line that is not complete yet.
    partial: Vec<u8>,
}

impl Shared {
    fn push(&self, line: &[u8]) {
        let mut buffer = self.buffer.lock();
        if buffer.lines.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.lost += 1;
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.extend_from_slice(line);
        if was_empty {
            self.filled.notify_one();
        }
    }
}

impl Write for LineSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.shared.push(&self.partial);
            self.partial.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Thread that writes the lines of a [`LineSink`] until it is closed.
#[derive(Debug)]
pub struct LogWriter {
    sink: LineSink,
    thread: JoinHandle<()>,
}

impl LogWriter {
    /// Starts a thread that writes the lines of `sink` to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start<Out>(sink: &LineSink, mut out: Out) -> io::Result<Self>
    where
        Out: Write + Send + 'static,
    {
        let shared = Arc::clone(&sink.shared);
        let thread = thread::Builder::new().name("journal".to_owned()).spawn(move || {
            while let Some((mut lines, lost)) = next_batch(&shared) {
                if lost > 0 {
                    lines
                        .extend_from_slice(format!("WARN journal: lost lines={lost}\n").as_bytes());
                }
                // A failed write cannot be reported: this is the log itself.
                let _ = chunks(&lines).try_for_each(|chunk| out.write_all(chunk));
                let _ = out.flush();
            }
        })?;
        Ok(Self { sink: sink.clone(), thread })
    }

    /// Writes the remaining lines and stops the thread. Gives up after 100 ms, since the reader may
    /// have stopped reading.
    pub fn close(self) {
        self.sink.shared.buffer.lock().closed = true;
        self.sink.shared.filled.notify_one();
        for _ in 0..CLOSE_CHECKS {
            if self.thread.is_finished() {
                // A panic of the thread leaves nothing to clean up.
                let _ = self.thread.join();
                return;
            }
            thread::sleep(CLOSE_CHECK_INTERVAL);
        }
    }
}

/// Splits `lines` at line ends into chunks that a pipe accepts atomically, so that the lines of
/// several writers are not interleaved.
fn chunks(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if lines.is_empty() {
            return None;
        }
        let limit = lines.len().min(ATOMIC_WRITE_BYTES);
        let line_end = lines[..limit].iter().rposition(|b| *b == b'\n');
        // A line longer than the limit is written on its own.
        let end = line_end.or_else(|| lines.iter().position(|b| *b == b'\n'));
        let (chunk, rest) = lines.split_at(end.map_or(lines.len(), |at| at + 1));
        lines = rest;
        Some(chunk)
    })
}

/// Waits for lines and returns them with the number of dropped lines, or `None` once the buffer is
/// closed and empty.
fn next_batch(shared: &Shared) -> Option<(Vec<u8>, u64)> {
    let mut buffer = shared.buffer.lock();
    while buffer.lines.is_empty() {
        if buffer.closed {
            return None;
        }
        shared.filled.wait(&mut buffer);
    }
    if !buffer.closed {
        shared.filled.wait_for(&mut buffer, BATCH_DELAY);
    }
    Some((mem::take(&mut buffer.lines), mem::take(&mut buffer.lost)))
}

/// Installs the global logger, which writes to `sink`.
///
/// # Errors
///
/// Returns [`StartError::Log`] if the log level is unknown or a logger is already installed.
pub fn init(sink: &LineSink, settings: &Settings) -> Result<(), Report<StartError>> {
    let level = settings.log_level.parse::<log::LevelFilter>().change_context(StartError::Log)?;
    let host = Arc::clone(&settings.host);
    let out: Box<dyn Write + Send> = Box::new(sink.clone());
    fern::Dispatch::new()
        .format(move |line, message, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level();
            line.finish(format_args!(
                "{level} at={} host={host} {message}",
                since_epoch.as_millis()
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("azuretally_gateway", level)
        .chain(fern::Output::writer(out, "\n"))
        .apply()
        .change_context(StartError::Log)
}
