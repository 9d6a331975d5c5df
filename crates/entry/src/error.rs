//! Errors that prevent an entry from starting.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Error that prevents an entry from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A file could not be opened or read.
    ReadFile(PathBuf),
    /// The local settings are invalid.
    Settings,
    /// A listening address could not be bound.
    Bind(SocketAddr),
    /// A runtime, thread or signal handler could not be set up.
    Runtime,
    /// The administration token file is empty.
    EmptyToken(PathBuf),
    /// The description of an HTTP API could not be built.
    Api,
    /// Logging could not be set up.
    Log,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::Settings => f.write_str("invalid local settings"),
            Self::Bind(address) => write!(f, "cannot listen on {address}"),
            Self::Runtime => f.write_str("cannot set up a runtime, thread or signal handler"),
            Self::EmptyToken(path) => {
                write!(f, "administration token file `{}` is empty", path.display())
            }
            Self::Api => f.write_str("cannot build the description of an HTTP API"),
            Self::Log => f.write_str("cannot set up logging"),
        }
    }
}

impl Error for StartError {}
