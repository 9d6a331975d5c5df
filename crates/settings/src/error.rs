//! Errors of the settings check.

use std::{error::Error, fmt};

/// One problem found in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Dotted path of the key, empty for the document as a whole. List indices count from 0.
    pub path: String,
    /// Line of the key, from 1, or of its nearest parent in the document.
    pub line: Option<usize>,
    /// Description of the problem.
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

/// Error for a refused document, with all problems found in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Origin of the document, such as its file name.
    pub source: String,
    /// All problems found; never empty.
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
