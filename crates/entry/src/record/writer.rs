//! Writes lines to the record file on a thread of its own, so that a slow pipe delays nothing.

use azuretally_api::record::RecordLine;
use std::{
    fs::{File, OpenOptions},
    io::{self, BufWriter, Write},
    path::Path,
    sync::{
        Arc,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
};

/// Lines that may wait to be written.
const WAITING_LINES: usize = 32_768;

/// The thread that writes, and the queue before it.
#[derive(Debug)]
pub(super) struct Writer {
    queue: SyncSender<Arc<RecordLine>>,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Opens the file for appending, or logs why there is no writer.
    pub(super) fn start(path: &Path) -> Option<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.inspect_err(|e| log::error!("record: cannot open file: {e}")).ok()?;
        let (queue, lines) = sync_channel(WAITING_LINES);
        let thread = thread::Builder::new().name("record".to_owned());
        let thread = thread.spawn(move || {
            if let Err(e) = write_all(file, &lines) {
                log::error!("record: cannot write: {e}");
            }
        });
        let thread = thread.inspect_err(|e| log::error!("record: no thread: {e}")).ok()?;
        Some(Self { queue, thread })
    }

    /// Queues a line; false when it will not be written.
    pub(super) fn write(&self, line: Arc<RecordLine>) -> bool {
        self.queue.try_send(line).is_ok()
    }

    /// Writes what waits and joins the thread.
    pub(super) fn end(self) {
        drop(self.queue);
        if self.thread.join().is_err() {
            log::error!("record: writer panicked");
        }
    }
}

fn write_all(file: File, lines: &Receiver<Arc<RecordLine>>) -> io::Result<()> {
    let mut out = BufWriter::new(file);
    while let Ok(line) = lines.recv() {
        write_line(&mut out, &line)?;
        for line in lines.try_iter() {
            write_line(&mut out, &line)?;
        }
        out.flush()?;
    }
    Ok(())
}

fn write_line(out: &mut BufWriter<File>, line: &RecordLine) -> io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")
}
