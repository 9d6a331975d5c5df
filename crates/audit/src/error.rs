//! Reasons why a record could not be verified.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Why a record could not be verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditError {
    /// A file could not be read.
    ReadFile(PathBuf),
    /// A file of runs is not of the form `{"runs": {"KEY": COUNT}}`.
    Runs(PathBuf),
    /// An entry could not be asked.
    Ask(SocketAddr),
    /// An entry refused to give its record.
    Refused(SocketAddr, u16),
    /// An answer was not understood.
    Answer(SocketAddr),
    /// A runtime could not be started.
    Runtime,
}

impl fmt::Display for AuditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::Runs(path) => write!(f, "`{}` does not tell runs by key", path.display()),
            Self::Ask(address) => write!(f, "cannot ask the entry at {address}"),
            Self::Refused(address, status) => write!(f, "the entry at {address} answered {status}"),
            Self::Answer(address) => write!(f, "cannot understand the answer of {address}"),
            Self::Runtime => f.write_str("cannot start a runtime"),
        }
    }
}

impl Error for AuditError {}
