//! Typed verdicts on settings documents.

use std::{error::Error, fmt};

/// One thing that is wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Dotted key path, empty for the document as a whole.
    pub path: String,
    /// What is wrong, as a short sentence.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.as_str() {
            "" => write!(f, "{}", self.reason),
            path => write!(f, "{path}: {}", self.reason),
        }
    }
}

/// Refusal of a whole document, with every problem that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// File name or platform key of the document.
    pub source: String,
    /// Never empty.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {problem}", self.source)?;
        }
        Ok(())
    }
}

impl Error for SettingsError {}

impl Problem {
    pub(crate) fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl SettingsError {
    pub(crate) fn syntax(source: &str, text: &str, error: &toml::de::Error) -> Self {
        let line = error.span().map(|s| text[..s.start].matches('\n').count() + 1);
        let reason = match line {
            Some(line) => format!("line {line}: {}", error.message()),
            None => error.message().to_owned(),
        };
        Self { source: source.to_owned(), problems: vec![Problem::new("", reason)] }
    }
}
