//! Why control failed to reach the platform or peers.

use std::{error::Error, fmt};

/// A failed call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection was made.
    Connect,
    /// The connection broke or did not speak HTTP.
    Transport,
    /// No answer came in time.
    Timeout,
    /// The answer had this status.
    Status(u16),
    /// The answer had no revision, was too long or not UTF-8.
    Malformed,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("cannot connect"),
            Self::Transport => f.write_str("the connection broke"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Malformed => f.write_str("the answer is malformed"),
        }
    }
}

impl Error for PlatformError {}

/// A socket between entries could not be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerError(nng::Error);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the socket cannot be set up: {}", self.0)
    }
}

impl Error for PeerError {}

impl From<nng::Error> for PeerError {
    fn from(e: nng::Error) -> Self {
        Self(e)
    }
}
