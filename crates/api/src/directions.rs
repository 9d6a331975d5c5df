//! Responses to callers that ask which entries to use.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Address of one entry, with the token that the entry issued for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Direction {
    /// Host name of the entry.
    pub host: String,
    /// Failure domain of the entry.
    pub failure_domain: String,
    /// Address on which the entry accepts calls.
    pub address: SocketAddr,
    /// Token that calls that are not idempotent must carry in their idempotency key.
    pub token: String,
}

/// Entries that serve one service, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Directions {
    /// Name of the service.
    pub service: String,
    /// Time for which the caller may cache the response, in ms.
    pub ttl_ms: u64,
    /// Entries in order of preference.
    pub entries: Vec<Direction>,
}
