//! Errors that prevent a stand-in from starting.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// An error that prevents a stand-in from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StandinError {
    /// A file could not be read.
    ReadFile(PathBuf),
    /// A file could not be parsed.
    Parse(PathBuf),
    /// An address could not be bound.
    Bind(SocketAddr),
    /// A runtime or thread could not be started.
    Runtime,
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::Parse(path) => write!(f, "cannot parse `{}`", path.display()),
            Self::Bind(address) => write!(f, "cannot listen on {address}"),
            Self::Runtime => f.write_str("cannot start a thread or runtime"),
        }
    }
}

impl Error for StandinError {}
