//! Errors of the connections to the platform.

use std::{error::Error, fmt};

/// Error of a request to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The connection could not be established in time.
    Connect,
    /// The connection failed, the other end did not speak HTTP, or the response was too long.
    Transport,
    /// The response did not arrive in time.
    Timeout,
    /// The response had this unexpected status.
    Status(u16),
    /// The request could not be built, or the response had no revision or was not valid UTF-8.
    Malformed,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("cannot connect"),
            Self::Transport => f.write_str("the connection failed"),
            Self::Timeout => f.write_str("no response in time"),
            Self::Status(status) => write!(f, "unexpected status {status}"),
            Self::Malformed => f.write_str("the response is malformed"),
        }
    }
}

impl Error for PlatformError {}
