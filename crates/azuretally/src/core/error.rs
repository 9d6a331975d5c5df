//! Errors of the command line.

use std::{error::Error, fmt, net::SocketAddr, path::PathBuf};

/// Exit status for an invalid command line and for one that names no entry.
const USAGE_EXIT_CODE: u8 = 2;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliError {
    /// The command line is invalid.
    Usage,
    /// A file could not be read.
    ReadFile(PathBuf),
    /// A file could not be written.
    WriteFile(PathBuf),
    /// Some of the checked documents were refused.
    DocumentsRefused {
        /// Number of refused documents.
        refused: usize,
        /// Number of documents that were checked.
        checked: usize,
    },
    /// A document that the command needs was refused.
    InvalidDocument(PathBuf),
    /// No entry is given on the command line.
    NoEntryGiven,
    /// This number of entries did not return a valid response.
    NoResponse(usize),
    /// A document is not valid TOML.
    Syntax(PathBuf),
    /// A document has no preset with the given name.
    UnknownPreset {
        /// Name of the preset.
        name: String,
        /// Path of the document.
        file: PathBuf,
    },
    /// A request to an entry failed.
    Request(SocketAddr),
    /// An entry returned an error response.
    ErrorResponse {
        /// Administration address of the entry.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Error message of the entry.
        message: String,
    },
    /// The body of a response is invalid.
    InvalidBody(SocketAddr),
    /// None of the entries that responded runs on this host.
    UnknownHost(String),
    /// No entry that responded has a record line of this call, or no log names it.
    UnknownCall(String),
    /// The output could not be formatted or the async runtime could not be started.
    Internal,
    /// This number of outcomes do not hold.
    OutcomesBroken(usize),
}

impl CliError {
    /// Exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage | Self::NoEntryGiven => USAGE_EXIT_CODE,
            _ => 1,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => f.write_str("invalid command line"),
            Self::ReadFile(path) => write!(f, "cannot read `{}`", path.display()),
            Self::WriteFile(path) => write!(f, "cannot write `{}`", path.display()),
            Self::DocumentsRefused { refused, checked } => {
                write!(f, "{refused} of {checked} documents refused")
            }
            Self::InvalidDocument(path) => {
                write!(f, "`{}` is not a valid settings document", path.display())
            }
            Self::NoEntryGiven => f.write_str("no entry given; use `--entry ADDR`"),
            Self::NoResponse(n) => write!(f, "{n} entries did not respond"),
            Self::Syntax(path) => write!(f, "`{}` is not valid TOML", path.display()),
            Self::UnknownPreset { name, file } => {
                write!(f, "no preset named `{name}` in `{}`", file.display())
            }
            Self::Request(address) => write!(f, "cannot ask the entry at {address}"),
            Self::ErrorResponse { address, status, message } => {
                write!(f, "the entry at {address} returned status {status}: {message}")
            }
            Self::InvalidBody(address) => write!(f, "invalid response from the entry at {address}"),
            Self::UnknownHost(host) => write!(f, "no entry asked has the host name `{host}`"),
            Self::UnknownCall(call) => write!(f, "no entry asked has a record of `{call}`"),
            Self::Internal => f.write_str("cannot format the output or start the async runtime"),
            Self::OutcomesBroken(n) => write!(f, "{n} outcomes do not hold"),
        }
    }
}

impl Error for CliError {}
