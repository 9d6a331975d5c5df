//! Writes lines to the record file on a separate thread, so that a slow pipe does not block the
//! control thread.

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

/// Capacity of the queue of lines to write.
const QUEUE_LINES: usize = 32_768;

/// Handle of the writer thread and its queue.
#[derive(Debug)]
pub(super) struct Writer {
    queue: SyncSender<Arc<RecordLine>>,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Opens the file for appending and starts the thread. Logs an error and returns `None` if that
    /// fails.
    pub(super) fn start(path: &Path) -> Option<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file =
            file.inspect_err(|e| log::error!("record: cannot open the record file: {e}")).ok()?;
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let thread = thread::Builder::new().name("record".to_owned());
        let thread = thread.spawn(move || {
            if let Err(e) = write_all(file, &lines) {
                log::error!("record: cannot write the record file: {e}");
            }
        });
        let thread = thread
            .inspect_err(|e| log::error!("record: cannot start the writer thread: {e}"))
            .ok()?;
        Some(Self { queue, thread })
    }

    /// Queues a line. Returns whether there was space for it and the writer still runs.
    pub(super) fn write(&self, line: Arc<RecordLine>) -> bool {
        self.queue.try_send(line).is_ok()
    }

    /// Writes the queued lines and joins the thread.
    pub(super) fn finish(self) {
        drop(self.queue);
        if self.thread.join().is_err() {
            log::error!("record: the writer thread panicked");
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
