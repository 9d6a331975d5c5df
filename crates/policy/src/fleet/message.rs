//! What entries say to each other.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Addresses of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Where it takes calls.
    pub calls: SocketAddr,
    /// Where it takes messages from peers.
    pub peers: SocketAddr,
}

/// Order of what an entry says of itself: first by process, then by change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Grows with every process on the host. Zero for an entry known from the host list alone.
    pub generation: u64,
    /// Grows with every change within a process, a refutation included.
    pub counter: u64,
}

/// What an entry says of its own state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// Not ready for callers: no settings yet, or cut off from platform and peers.
    #[default]
    Unready,
    /// Takes calls.
    Ready,
    /// Planned stop. Final for the process.
    Leaving,
}

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Host name.
    pub host: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Addresses.
    pub addresses: Addresses,
    /// Order among the records of the host.
    pub version: Version,
    /// State.
    pub availability: Availability,
    /// Token that callers send with calls which are not idempotent.
    pub token: String,
    /// Entries that each of its services needs by its own load, where more than the minimum.
    pub requested_sizes: Vec<(Arc<str>, u16)>,
}

/// One entry did not hear from another one that it monitors.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accusation {
    /// Host name of the silent entry.
    pub host: Arc<str>,
    /// Its version as the accuser knows it; a later one refutes.
    pub version: Version,
    /// Host name of the accuser.
    pub accuser: Arc<str>,
}

/// A target was seen to be leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Host name of the target.
    pub target: Arc<str>,
    /// Incarnation that is leaving, empty when unknown.
    pub incarnation: Arc<str>,
}

/// A value that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The settings document.
    Settings,
    /// The host list.
    Hosts,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 2] = [Self::Settings, Self::Hosts];
}

/// Revisions of one topic at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Highest accepted revision.
    pub accepted: u64,
    /// Highest revision seen, refused ones included.
    pub seen: u64,
}

/// Part of most messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Revisions of the settings.
    pub settings: Revisions,
    /// Revisions of the host list.
    pub hosts: Revisions,
    /// Hash of all records and leaving_reports that the sender knows.
    pub digest: u64,
    /// Records new to the receiver.
    pub records: Vec<EntryRecord>,
    /// Accusations new to the receiver.
    pub accusations: Vec<Accusation>,
    /// Sightings new to the receiver.
    pub leaving_reports: Vec<LeavingReport>,
}

impl Gossip {
    /// Revisions of `topic`.
    pub fn revisions(&self, topic: Topic) -> Revisions {
        match topic {
            Topic::Settings => self.settings,
            Topic::Hosts => self.hosts,
        }
    }
}

/// A value, whole or as a change of an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Which value.
    pub topic: Topic,
    /// Its revision.
    pub revision: u64,
    /// Revision that the change applies to, 0 for an empty text.
    pub base: u64,
    /// Bytes kept from the start of the base.
    pub prefix_bytes: u32,
    /// Bytes kept from the end of the base.
    pub suffix_bytes: u32,
    /// Text between the two.
    pub replacement: String,
    /// Hash of the whole text.
    pub hash: u64,
}

/// Body of a message between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Number that the acknowledgement repeats.
        probe: u64,
        /// Pings before this one that were not acknowledged, in a row.
        missed: u32,
        /// News.
        gossip: Gossip,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the ping.
        probe: u64,
        /// News.
        gossip: Gossip,
    },
    /// Tells gossip at once.
    Gossip(Gossip),
    /// Asks for a value.
    Request {
        /// Which value.
        topic: Topic,
        /// Revision that the sender has, as a base for a change.
        base: u64,
        /// Revision wanted.
        revision: u64,
    },
    /// Brings a value.
    Delta(Delta),
    /// Versions of all records that the sender knows, to find what either side lacks.
    Summary {
        /// Host names and versions.
        versions: Vec<(Arc<str>, Version)>,
        /// Host names and versions of entries that the sender has given up.
        gone: Vec<(Arc<str>, Version)>,
        /// Sightings.
        leaving_reports: Vec<LeavingReport>,
        /// Whether the receiver is to send a summary of its own.
        reply: bool,
    },
    /// Free slots of services whose set both belong to.
    FreeSlots(Vec<(Arc<str>, u32)>),
}

/// Who sent a message to whom, and its place in the sender's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Host name of the sender.
    pub from: Arc<str>,
    /// Generation of the sender's process.
    pub generation: u64,
    /// Grows with every message of the process.
    pub sequence: u64,
    /// Host name of the receiver, empty when the sender knows only the address.
    pub to: Arc<str>,
}
