//! The log keeps whole lines, is bounded, and never waits for its reader.

use azuretally_gateway::logging::{LineSink, LogWriter};
use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// A reader that can stop reading.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    blocked: bool,
    taken: Vec<Vec<u8>>,
}

impl Reader {
    fn set_blocked(&self, blocked: bool) {
        self.state.0.lock().unwrap_or_else(|e| panic!("{e}")).blocked = blocked;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let state = self.state.0.lock().unwrap_or_else(|e| panic!("{e}"));
        String::from_utf8_lossy(&state.taken.concat()).into_owned()
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state.0.lock().unwrap_or_else(|e| panic!("{e}"));
        while state.blocked {
            state = self.state.1.wait(state).unwrap_or_else(|e| panic!("{e}"));
        }
        state.taken.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(sink: &mut LineSink, line: &str) {
    // In pieces, as a formatter does.
    for piece in [line, "\n"] {
        sink.write_all(piece.as_bytes()).unwrap_or_else(|e| panic!("{e}"));
    }
}

#[test]
fn reader_that_stops_reading_costs_lines_and_no_time() {
    let reader = Reader::default();
    reader.set_blocked(true);
    let mut sink = LineSink::default();
    let writer = LogWriter::start(&sink, reader.clone()).unwrap_or_else(|e| panic!("{e}"));
    let line = "x".repeat(200);
    let begun = Instant::now();
    for _ in 0..10_000 {
        write_line(&mut sink, &line);
    }
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    reader.set_blocked(false);
    write_line(&mut sink, "after");
    while !reader.text().contains("after") {
        std::thread::sleep(Duration::from_millis(10));
        write_line(&mut sink, "after");
    }
    writer.close();
    let text = reader.text();
    assert!(text.len() < 1_024 * 1_024, "{} bytes were kept", text.len());
    assert!(text.contains("journal: lost lines="), "what was lost is told");
    let whole = |l: &str| l == line || l == "after" || l.contains("journal: lost lines=");
    assert!(text.lines().all(whole), "lines are whole");
}

#[test]
fn writes_end_with_a_line_and_fit_a_pipe() {
    let reader = Reader::default();
    let mut sink = LineSink::default();
    let writer = LogWriter::start(&sink, reader.clone()).unwrap_or_else(|e| panic!("{e}"));
    for n in 0..500 {
        write_line(&mut sink, &format!("line {n} {}", "y".repeat(n % 150)));
    }
    writer.close();
    let state = reader.state.0.lock().unwrap_or_else(|e| panic!("{e}"));
    assert!(state.taken.iter().all(|w| w.ends_with(b"\n") && w.len() <= 4_096));
    let lines: usize = state.taken.iter().map(|w| w.iter().filter(|b| **b == b'\n').count()).sum();
    assert_eq!(lines, 500);
}
