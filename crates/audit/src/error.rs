//! Errors of the audit.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Reason why a record could not be verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditError {
    /// A file could not be read.
    ReadFile(PathBuf),
    /// A file with run counts is not of the form `{"runs": {"KEY": COUNT}}`.
    RunCounts(PathBuf),
    /// A request to an entry failed.
    Request(SocketAddr),
    /// An entry answered with a status other than 200.
    Status(SocketAddr, u16),
    /// The response of an entry could not be parsed.
    Response(SocketAddr),
    /// The async runtime could not be started.
    Runtime,
}

impl fmt::Display for AuditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::RunCounts(path) => {
                write!(f, "`{}` does not contain run counts by key", path.display())
            }
            Self::Request(address) => write!(f, "request to the entry at {address} failed"),
            Self::Status(address, status) => {
                write!(f, "the entry at {address} answered with status {status}")
            }
            Self::Response(address) => write!(f, "invalid response from the entry at {address}"),
            Self::Runtime => f.write_str("cannot start the async runtime"),
        }
    }
}

impl Error for AuditError {}
