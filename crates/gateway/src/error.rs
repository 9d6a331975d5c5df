//! Errors at the start of a gateway.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Error that prevents a gateway from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// Neither the command line nor the environment variable names a settings file. Holds the name
    /// of the variable.
    NoSettings(&'static str),
    /// The settings file cannot be read.
    ReadFile(PathBuf),
    /// The settings are invalid.
    Settings,
    /// The gateway cannot listen on an address.
    Bind(SocketAddr),
    /// Logging cannot be initialized.
    Log,
    /// The async runtime or its signal handlers cannot be created.
    Runtime,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSettings(variable) => {
                write!(f, "no settings file given; use --settings or set {variable}")
            }
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::Settings => f.write_str("invalid settings"),
            Self::Bind(address) => write!(f, "cannot listen on {address}"),
            Self::Log => f.write_str("cannot initialize logging"),
            Self::Runtime => f.write_str("cannot initialize the async runtime"),
        }
    }
}

impl Error for StartError {}
