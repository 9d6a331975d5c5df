//! The log: lines on standard output that never hold up the process.
//!
//! Lines go into a bounded buffer that a thread writes out. A reader that stops reading costs
//! nothing but lines; how many were lost is told in a line once it reads again.

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

/// Bytes of lines that wait to be written.
const BUFFER_BYTES: usize = 256 * 1_024;
/// Bytes that a pipe takes in at once or not at all (`PIPE_BUF`).
const PIECE_BYTES: usize = 4_096;
/// Time for which lines are gathered, so that few writes are made.
const GATHER: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    lost: u64,
    closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

/// Takes lines without waiting.
#[derive(Clone, Debug, Default)]
pub struct LineSink {
    shared: Arc<Shared>,
    /// Beginning of a line whose end has not come yet.
    begun: Vec<u8>,
}

impl Shared {
    fn add(&self, line: &[u8]) {
        let mut buffer = self.buffer.lock();
        if buffer.lines.len() + line.len() > BUFFER_BYTES {
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
        self.begun.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.shared.add(&self.begun);
            self.begun.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the lines of a sink until it is closed.
#[derive(Debug)]
pub struct LogWriter {
    sink: LineSink,
    thread: JoinHandle<()>,
}

impl LogWriter {
    /// Starts writing what `sink` takes in to `out`.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
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
                // There is nobody left to tell of a failed write.
                let _ = pieces(&lines).try_for_each(|piece| out.write_all(piece));
                let _ = out.flush();
            }
        })?;
        Ok(Self { sink: sink.clone(), thread })
    }

    /// Writes what is left and ends, unless the reader has stopped reading.
    pub fn close(self) {
        self.sink.shared.buffer.lock().closed = true;
        self.sink.shared.filled.notify_one();
        for _ in 0..10 {
            if self.thread.is_finished() {
                // A panic of the writer leaves nothing to clean up.
                let _ = self.thread.join();
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Whole lines in pieces that a pipe takes in one go, so that lines of several writers do not mix.
fn pieces(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if lines.is_empty() {
            return None;
        }
        let limit = lines.len().min(PIECE_BYTES);
        let last = lines[..limit].iter().rposition(|b| *b == b'\n');
        // A line that is longer than a piece goes out alone.
        let end = last.or_else(|| lines.iter().position(|b| *b == b'\n'));
        let (piece, rest) = lines.split_at(end.map_or(lines.len(), |at| at + 1));
        lines = rest;
        Some(piece)
    })
}

fn next_batch(shared: &Shared) -> Option<(Vec<u8>, u64)> {
    let mut buffer = shared.buffer.lock();
    while buffer.lines.is_empty() {
        if buffer.closed {
            return None;
        }
        shared.filled.wait(&mut buffer);
    }
    if !buffer.closed {
        shared.filled.wait_for(&mut buffer, GATHER);
    }
    Some((mem::take(&mut buffer.lines), mem::take(&mut buffer.lost)))
}

/// Sends the log of the process through `sink`.
///
/// # Errors
///
/// [`StartError::Log`] when the level is not known or a log was set up before.
pub fn init(sink: &LineSink, settings: &Settings) -> Result<(), Report<StartError>> {
    let level = settings.log_level.parse::<log::LevelFilter>().change_context(StartError::Log)?;
    let host = Arc::clone(&settings.host);
    let out: Box<dyn Write + Send> = Box::new(sink.clone());
    fern::Dispatch::new()
        .format(move |line, message, record| {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level();
            line.finish(format_args!("{level} at={} host={host} {message}", at.as_millis()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("azuretally_gateway", level)
        .chain(fern::Output::writer(out, "\n"))
        .apply()
        .change_context(StartError::Log)
}
