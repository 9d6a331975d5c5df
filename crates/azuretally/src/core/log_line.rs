//! Parser for lines of a gateway's log: `LEVEL at=MS host=NAME component: words key=value ...`.

use indexmap::IndexMap;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Unix time in ms, by the clock of the host that wrote the line.
    pub time_ms: u64,
    /// Host that wrote the line.
    pub host: String,
    /// Component and message, including the fields.
    pub message: String,
    /// Fields (`key=value`) of the message.
    pub fields: IndexMap<String, String>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not a line of a gateway's log.
    pub fn parse(line: &str) -> Option<Self> {
        let (_, rest) = line.split_once("at=")?;
        let (time_ms, rest) = rest.split_once(" host=")?;
        let (host, message) = rest.split_once(' ')?;
        let fields = message.split(' ').filter_map(|word| {
            let (name, value) = word.split_once('=')?;
            Some((name.to_owned(), value.trim_end_matches(',').to_owned()))
        });
        Some(Self {
            time_ms: time_ms.parse().ok()?,
            host: host.to_owned(),
            message: message.to_owned(),
            fields: fields.collect(),
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}
