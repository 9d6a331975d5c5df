//! Forwards the `slog` records of dropshot to `log`.

use slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::fmt::{self, Write as _};

/// Creates a logger that forwards its records to `log`.
pub(super) fn logger() -> Logger {
    Logger::root(LogDrain, o!())
}

#[derive(Debug)]
struct LogDrain;

impl Drain for LogDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let level = level(record.level());
        if log::log_enabled!(level) {
            let mut pairs = KeyValues(String::new());
            let _ = record.kv().serialize(record, &mut pairs);
            log::log!(level, "admin: {}{}", record.msg(), pairs.0);
        }
        Ok(())
    }
}

/// Maps a level of `slog` to one of `log`. Dropshot logs each request at info level, which is
/// mapped to debug.
fn level(level: Level) -> log::Level {
    match level {
        Level::Critical | Level::Error => log::Level::Error,
        Level::Warning => log::Level::Warn,
        Level::Info | Level::Debug => log::Level::Debug,
        Level::Trace => log::Level::Trace,
    }
}

/// Collects the key-value pairs of one record as text.
struct KeyValues(String);

impl Serializer for KeyValues {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}").map_err(slog::Error::Fmt)
    }
}
