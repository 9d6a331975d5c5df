//! Reasons why a command fails.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliError {
    /// The command line is not understood.
    Usage,
    /// A file could not be read.
    ReadFile(PathBuf),
    /// A file could not be written.
    WriteFile(PathBuf),
    /// Documents were refused.
    Refused {
        /// Number of refused documents.
        refused: usize,
        /// Number of documents that were checked.
        checked: usize,
    },
    /// A document that is needed was refused.
    Rejected(PathBuf),
    /// No entry is named.
    NoEntry,
    /// Some entries gave no answer.
    Silent(usize),
    /// A document is not TOML.
    Syntax(PathBuf),
    /// A document has no such preset.
    NoPreset {
        /// The name asked for.
        name: String,
        /// The document.
        file: PathBuf,
    },
    /// An entry could not be asked.
    Ask(SocketAddr),
    /// An entry answered with an error.
    Answer {
        /// The entry.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// The message of the entry.
        message: String,
    },
    /// An answer was not understood.
    Body(SocketAddr),
    /// None of the entries asked has that host name.
    NoHost(String),
    /// No entry asked holds a record line of that call.
    NoCall(String),
    /// The terminal or a runtime could not be used.
    Terminal,
    /// An outcome that must hold does not.
    Broken(usize),
}

impl CliError {
    /// Exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage | Self::NoEntry => 2,
            _ => 1,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => f.write_str("cannot understand the command line"),
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::WriteFile(path) => write!(f, "cannot write `{}`", path.display()),
            Self::Refused { refused, checked } => {
                write!(f, "{refused} of {checked} documents refused")
            }
            Self::Rejected(path) => write!(f, "`{}` is refused", path.display()),
            Self::NoEntry => f.write_str("no entry is named; `--entry ADDR` names one"),
            Self::Silent(n) => write!(f, "{n} entries gave no answer"),
            Self::Syntax(path) => write!(f, "`{}` is not TOML", path.display()),
            Self::NoPreset { name, file } => {
                write!(f, "no preset named `{name}` in `{}`", file.display())
            }
            Self::Ask(address) => write!(f, "cannot ask the entry at {address}"),
            Self::Answer { address, status, message } => {
                write!(f, "the entry at {address} answered {status}: {message}")
            }
            Self::Body(address) => write!(f, "cannot understand the answer of {address}"),
            Self::NoHost(host) => write!(f, "no entry asked has the host name `{host}`"),
            Self::NoCall(call) => write!(f, "no entry asked has a record of `{call}`"),
            Self::Terminal => f.write_str("cannot use the terminal or a runtime"),
            Self::Broken(n) => write!(f, "{n} outcomes do not hold"),
        }
    }
}

impl Error for CliError {}
