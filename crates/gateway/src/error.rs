//! Why a gateway cannot start.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Why a gateway cannot start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// No settings file was named.
    NoSettings(&'static str),
    /// The settings file cannot be read.
    ReadFile(PathBuf),
    /// The settings cannot be used.
    Settings,
    /// An address cannot be used.
    Bind(SocketAddr),
    /// The log cannot be set up.
    Log,
    /// The runtime cannot be set up.
    Runtime,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSettings(variable) => {
                write!(f, "name the settings file with --settings or in {variable}")
            }
            Self::ReadFile(path) => write!(f, "cannot read {}", path.display()),
            Self::Settings => f.write_str("the settings cannot be used"),
            Self::Bind(address) => write!(f, "cannot listen on {address}"),
            Self::Log => f.write_str("the log cannot be set up"),
            Self::Runtime => f.write_str("the runtime cannot be set up"),
        }
    }
}

impl Error for StartError {}
