//! Sends what dropshot logs through `slog` to `log`.

use slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::fmt::{self, Write as _};

/// A logger whose records end up in `log`.
pub(super) fn logger() -> Logger {
    Logger::root(Bridge, o!())
}

#[derive(Debug)]
struct Bridge;

impl Drain for Bridge {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let level = level(record.level());
        if log::log_enabled!(level) {
            let mut pairs = Pairs(String::new());
            let _ = record.kv().serialize(record, &mut pairs);
            log::log!(level, "admin: {}{}", record.msg(), pairs.0);
        }
        Ok(())
    }
}

/// Requests are told at info level by dropshot, which is debug level here.
fn level(level: Level) -> log::Level {
    match level {
        Level::Critical | Level::Error => log::Level::Error,
        Level::Warning => log::Level::Warn,
        Level::Info | Level::Debug => log::Level::Debug,
        Level::Trace => log::Level::Trace,
    }
}

/// Key and value pairs of one record as text.
struct Pairs(String);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}").map_err(slog::Error::Fmt)
    }
}
