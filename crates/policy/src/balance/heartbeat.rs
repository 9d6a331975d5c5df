//! What gateways say to each other, and to callers that ask which of them to use.

use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Where a gateway stands between start and end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does not know settings and targets yet.
    #[default]
    Starting,
    /// It takes calls.
    Ready,
    /// Planned stop. Final for the process.
    Leaving,
}

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of its host.
    pub host: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Tells its processes apart; later ones are greater unless the clock was set back.
    pub incarnation: u64,
    /// Grows with each heartbeat of the process.
    pub sequence: u64,
    /// Where it takes calls.
    pub call_address: SocketAddr,
    /// What its host can carry: thousandths of a core, less where its link is narrow.
    pub capacity: u32,
    /// Phase.
    pub phase: Phase,
    /// Whether it started some time ago.
    pub settled: bool,
    /// Revision of the platform's last change that it knows, signs of life aside.
    pub revision: u64,
    /// Age of what it knows in ms, nothing before its first read.
    pub age_ms: Option<u32>,
    /// Whether it reads the platform itself.
    pub reader: bool,
    /// First gateways of the other failure domains, told within a failure domain by its own first.
    pub remote_primaries: Vec<(Arc<str>, SocketAddr)>,
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// Asks who there is.
    Join(Heartbeat),
    /// Addresses of gateways, in answer to a greeting.
    Peers(Vec<IpAddr>),
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Host to which it goes.
    pub to: IpAddr,
    /// The message.
    pub message: Message,
}

/// Answer to a caller that asks which gateway to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directions {
    /// Addresses for calls, none when no gateway is ready.
    pub addresses: Vec<SocketAddr>,
    /// How long they may be used.
    pub lifetime: Duration,
}
