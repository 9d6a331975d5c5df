//! Failures of the tool.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The command line is wrong.
    Usage,
    /// A file could not be read.
    Read(PathBuf),
    /// A file could not be written.
    Write(PathBuf),
    /// A settings document or experiment was refused.
    Settings(PathBuf),
    /// The mix names an operation that the settings do not have.
    UnknownOperation(String),
    /// A binary does not stand beside this one.
    MissingBinary(PathBuf),
    /// A process could not be started.
    Start(&'static str),
    /// A process did not become ready in time.
    NotReady(SocketAddr),
    /// The runtime or a thread could not be started.
    Runtime,
    /// A peer answered what was not expected.
    Answer(SocketAddr),
    /// A plot could not be drawn.
    Plot(PathBuf),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => f.write_str("the command line is wrong"),
            Self::Read(path) => write!(f, "cannot read `{}`", path.display()),
            Self::Write(path) => write!(f, "cannot write `{}`", path.display()),
            Self::Settings(path) => write!(f, "`{}` is refused", path.display()),
            Self::UnknownOperation(name) => write!(f, "the settings have no operation `{name}`"),
            Self::MissingBinary(path) => write!(f, "no binary `{}`", path.display()),
            Self::Start(name) => write!(f, "cannot start {name}"),
            Self::NotReady(address) => write!(f, "{address} did not become ready in time"),
            Self::Runtime => f.write_str("cannot start a runtime or thread"),
            Self::Answer(address) => write!(f, "unexpected answer from {address}"),
            Self::Plot(path) => write!(f, "cannot draw `{}`", path.display()),
        }
    }
}

impl Error for LoadError {}
