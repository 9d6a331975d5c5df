//! `record.txt`, the record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{LineWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    start: Instant,
    file: Mutex<LineWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(LineWriter::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
