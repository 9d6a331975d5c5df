//! Errors of the tool.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The command line is invalid.
    InvalidArguments,
    /// A file could not be read.
    ReadFile(PathBuf),
    /// A file could not be written.
    WriteFile(PathBuf),
    /// A settings document or experiment was refused.
    InvalidDocument(PathBuf),
    /// The mix names an operation that the settings do not define.
    UnknownOperation(String),
    /// A binary is missing in the directory of this one.
    MissingBinary(PathBuf),
    /// A process could not be started.
    StartProcess(&'static str),
    /// A process did not become ready in time.
    NotReady(SocketAddr),
    /// The runtime, a thread or another facility of this process could not be set up.
    Runtime,
    /// A request got no valid answer from this address.
    UnexpectedAnswer(SocketAddr),
    /// A plot could not be drawn.
    DrawPlot(PathBuf),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidArguments => f.write_str("invalid command line"),
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::WriteFile(path) => write!(f, "cannot write `{}`", path.display()),
            Self::InvalidDocument(path) => write!(f, "invalid document `{}`", path.display()),
            Self::UnknownOperation(name) => {
                write!(f, "operation `{name}` is not defined in the settings")
            }
            Self::MissingBinary(path) => write!(f, "binary `{}` not found", path.display()),
            Self::StartProcess(name) => write!(f, "cannot start {name}"),
            Self::NotReady(address) => write!(f, "{address} did not become ready in time"),
            Self::Runtime => f.write_str("cannot set up the runtime or a thread"),
            Self::UnexpectedAnswer(address) => write!(f, "no valid answer from {address}"),
            Self::DrawPlot(path) => write!(f, "cannot draw `{}`", path.display()),
        }
    }
}

impl Error for LoadError {}
