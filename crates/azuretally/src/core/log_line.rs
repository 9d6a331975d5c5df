//! One line of a gateway's log: `LEVEL at=MS host=NAME part: words key=value ...`.

use indexmap::IndexMap;

/// A line with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Unix time in ms, by the clock of the host.
    pub at: u64,
    /// Host that wrote it.
    pub host: String,
    /// Part of the gateway and what it says, fields included.
    pub text: String,
    /// Fields of the text.
    pub fields: IndexMap<String, String>,
}

impl LogLine {
    /// Reads a line; nothing when it is none of a gateway.
    pub fn parse(line: &str) -> Option<Self> {
        let (_, rest) = line.split_once("at=")?;
        let (at, rest) = rest.split_once(" host=")?;
        let (host, text) = rest.split_once(' ')?;
        let fields = text.split(' ').filter_map(|word| {
            let (name, value) = word.split_once('=')?;
            Some((name.to_owned(), value.trim_end_matches(',').to_owned()))
        });
        Some(Self {
            at: at.parse().ok()?,
            host: host.to_owned(),
            text: text.to_owned(),
            fields: fields.collect(),
        })
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}
