//! Logging writes whole lines, bounds its memory and never waits for the reader of its output.

use azuretally_gateway::logging::{LineSink, LogWriter};
use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Log output that can be blocked, like a pipe whose reader has stopped reading.
#[derive(Clone, Default)]
struct BlockableOutput {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    blocked: bool,
    /// One element for each write.
    writes: Vec<Vec<u8>>,
}

impl BlockableOutput {
    fn set_blocked(&self, blocked: bool) {
        self.state.0.lock().unwrap_or_else(|e| panic!("{e}")).blocked = blocked;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let state = self.state.0.lock().unwrap_or_else(|e| panic!("{e}"));
        String::from_utf8_lossy(&state.writes.concat()).into_owned()
    }
}

impl Write for BlockableOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state.0.lock().unwrap_or_else(|e| panic!("{e}"));
        while state.blocked {
            state = self.state.1.wait(state).unwrap_or_else(|e| panic!("{e}"));
        }
        state.writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(sink: &mut LineSink, line: &str) {
    // A formatter writes a line in several parts.
    for part in [line, "\n"] {
        sink.write_all(part.as_bytes()).unwrap_or_else(|e| panic!("{e}"));
    }
}

#[test]
fn blocked_output_drops_lines_and_does_not_block_writers() {
    let output = BlockableOutput::default();
    output.set_blocked(true);
    let mut sink = LineSink::default();
    let writer = LogWriter::start(&sink, output.clone()).unwrap_or_else(|e| panic!("{e}"));
    let line = "x".repeat(200);
    let started = Instant::now();
    for _ in 0..10_000 {
        write_line(&mut sink, &line);
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    output.set_blocked(false);
    write_line(&mut sink, "after");
    while !output.text().contains("after") {
        std::thread::sleep(Duration::from_millis(10));
        write_line(&mut sink, "after");
    }
    writer.close();
    let text = output.text();
    assert!(text.len() < 1_024 * 1_024, "{} bytes were kept", text.len());
    assert!(text.contains("journal: lost lines="), "the number of dropped lines is logged");
    let is_whole = |l: &str| l == line || l == "after" || l.contains("journal: lost lines=");
    assert!(text.lines().all(is_whole), "no line is truncated or split");
}

#[test]
fn writes_end_at_a_line_end_and_fit_pipe_buf() {
    let output = BlockableOutput::default();
    let mut sink = LineSink::default();
    let writer = LogWriter::start(&sink, output.clone()).unwrap_or_else(|e| panic!("{e}"));
    for n in 0..500 {
        write_line(&mut sink, &format!("line {n} {}", "y".repeat(n % 150)));
    }
    writer.close();
    let state = output.state.0.lock().unwrap_or_else(|e| panic!("{e}"));
    assert!(state.writes.iter().all(|write| write.ends_with(b"\n") && write.len() <= 4_096));
    let lines: usize = state.writes.iter().map(|w| w.iter().filter(|b| **b == b'\n').count()).sum();
    assert_eq!(lines, 500);
}
