//! What was sent, answered and run, with the time since the start in ms.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let ms = self.elapsed().as_millis();
        let _ = writeln!(self.file.lock().expect("the file"), "{ms} {text}");
    }
}
