//! Typed verdicts on settings documents.

use std::{error::Error, fmt};

/// One thing that is wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Dotted key path, empty for the document as a whole. Places in a list count from 0.
    pub path: String,
    /// Line of the key, from 1, or of its nearest parent in the document.
    pub line: Option<usize>,
    /// What is wrong, as a short sentence.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "{line}: ")?;
        }
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
            write!(
                f,
                "{}:{}{problem}",
                self.source,
                if problem.line.is_some() { "" } else { " " }
            )?;
        }
        Ok(())
    }
}

impl Error for SettingsError {}

impl Problem {
    pub(crate) fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), line: None, reason: reason.into() }
    }
}
