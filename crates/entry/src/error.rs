//! Reasons why an entry does not start.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Why an entry did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A file could not be read.
    ReadFile(PathBuf),
    /// The local settings were refused.
    Settings,
    /// An address could not be bound.
    Bind(SocketAddr),
    /// A runtime or thread could not be started.
    Runtime,
    /// The file of the administration token is empty.
    EmptyToken(PathBuf),
    /// An HTTP interface could not be described.
    Api,
    /// Logging could not be set up.
    Log,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::Settings => f.write_str("the local settings are refused"),
            Self::Bind(address) => write!(f, "cannot listen on {address}"),
            Self::Runtime => f.write_str("cannot start a thread or runtime"),
            Self::EmptyToken(path) => write!(f, "`{}` holds no token", path.display()),
            Self::Api => f.write_str("cannot describe an HTTP interface"),
            Self::Log => f.write_str("cannot set up the log"),
        }
    }
}

impl Error for StartError {}
