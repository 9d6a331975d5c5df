//! Messages between gateways, and the directions that tell callers which gateways to use.

use super::{limits::LimitNotice, quarantine::CallNotice, revision::Revision};
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Generation of the messages between gateways. Rises with each change of them.
pub const MESSAGE_GENERATION: u32 = 5;
/// Generation from which on gateways tell each other of trials of quarantined calls.
pub(super) const TRIAL_GENERATION: u32 = 4;
/// Generation from which on gateways tell each other of evacuations.
pub(super) const EVACUATION_GENERATION: u32 = 5;

/// Lifecycle phase of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has not read settings and targets yet.
    #[default]
    Starting,
    /// It accepts calls.
    Ready,
    /// In its planned stop. Final for the process.
    Leaving,
    /// Cut off from all targets: it accepts calls and relays them to other gateways, but callers are
    /// directed to it only if no gateway is ready. Gateways of builds before this phase take it for
    /// silent.
    Detached,
}

/// State that a gateway reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the gateway's host.
    pub host: Arc<str>,
    /// Failure domain of the gateway.
    pub domain: Arc<str>,
    /// Distinguishes processes on the same host; a later process has a greater value unless the
    /// clock was set back.
    pub incarnation: u64,
    /// Sequence number, incremented with each heartbeat of the process.
    pub sequence: u64,
    /// Address on which it accepts calls.
    pub call_address: SocketAddr,
    /// Capacity of its host in thousandths of a core, less where its network link is the
    /// bottleneck.
    pub capacity: u32,
    /// Current phase.
    pub phase: Phase,
    /// Whether it has been running long enough to rank equally with other gateways.
    pub settled: bool,
    /// Number of the platform revision of the last change that it knows, not counting target
    /// heartbeats.
    pub revision: u64,
    /// Age of its platform data in ms, `None` before its first read.
    pub age_ms: Option<u32>,
    /// Whether it reads the platform itself rather than through a peer.
    pub reader: bool,
    /// Failure domain and call address of the primary gateway of each other domain. Only the
    /// primary of a domain fills this in, for the gateways of its own domain.
    pub remote_primaries: Vec<(Arc<str>, SocketAddr)>,
    /// What the datagram carries behind the message.
    #[serde(skip)]
    pub extension: HeartbeatExtension,
    /// What the datagram carries behind the extension.
    #[serde(skip)]
    pub build: Build,
    /// What the datagram carries behind the build.
    #[serde(skip)]
    pub reads: ReadState,
    /// What the datagram carries behind the state of reads.
    #[serde(skip)]
    pub load: GatewayLoad,
}

impl Heartbeat {
    /// Returns the platform revision of the last change that the gateway knows, not counting target
    /// heartbeats.
    pub fn known_revision(&self) -> Revision {
        Revision::new(self.extension.era, self.revision)
    }
}

/// Part of a heartbeat that builds before it do not know. It follows the message in a datagram; builds
/// that do not know it ignore it, and in their datagrams it is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatExtension {
    /// Era of the platform's data; 0 if the platform names none.
    pub era: u64,
    /// Version of the published settings; 0 if there are none.
    pub settings: u64,
}

/// Build of a gateway. It follows the extension in a datagram; in those of builds before it, it is
/// missing, and they ignore it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Build {
    /// Generation of the messages that it sends; 0 is that of the builds before this field.
    pub generation: u32,
    /// Version of the program; empty in builds before this field.
    pub version: Arc<str>,
}

impl Default for Build {
    /// Returns the build of a gateway that names none.
    fn default() -> Self {
        Self { generation: 0, version: Arc::from("") }
    }
}

/// How a gateway gets on with its reads of the platform. It follows the build in a datagram; in those of
/// builds before it, it is missing, and they ignore it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadState {
    /// Whether the gateway tries to read the platform and gets no answers.
    pub failing: bool,
}

/// Load of a gateway, and when it is heard next. It follows the state of reads in a datagram; in those of builds before it, it is
/// missing, and they ignore it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Processor time that its calls use, in thousandths of a core; 0 from builds that do not tell.
    pub used: u32,
    /// Time after which it sends its next heartbeat to its failure domain at the latest, in ms; 0 from
    /// builds that do not tell.
    pub interval_ms: u32,
}

/// Datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Sent to seed hosts to discover other gateways.
    Join(Heartbeat),
    /// Addresses of gateways, in reply to [`Message::Join`] or to a heartbeat sent to a gateway
    /// that is not its domain's primary.
    Peers(Vec<IpAddr>),
    /// Limits of targets. Gateways of builds before this message ignore it.
    Limits(Vec<LimitNotice>),
    /// Calls under which processes of targets ended. Gateways of builds before this message ignore
    /// it.
    Calls(Vec<CallNotice>),
}

/// Message with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Host to send the message to.
    pub to: IpAddr,
    /// Message to send.
    pub message: Message,
}

/// Gateways that a caller is directed to, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directions {
    /// Addresses for calls; empty when no gateway is ready.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may use the addresses.
    pub lifetime: Duration,
}
