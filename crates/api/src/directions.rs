//! Answers to callers that ask which entry to use.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One address to use, with the token that belongs to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Direction {
    /// Host name of the entry.
    pub host: String,
    /// Failure domain of the entry.
    pub failure_domain: String,
    /// Where the entry takes calls.
    pub address: SocketAddr,
    /// Token to send with calls that are not idempotent.
    pub token: String,
}

/// Ordered addresses for one service, the best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Directions {
    /// Name of the service.
    pub service: String,
    /// How long the answer may be kept, in ms.
    pub ttl_ms: u64,
    /// Entries to use, in order.
    pub entries: Vec<Direction>,
}
