//! Messages exchanged between entries.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Listen addresses of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Address for calls.
    pub calls: SocketAddr,
    /// Address for messages from peers.
    pub peers: SocketAddr,
}

/// Version of an entry's record, ordered by process, then by update within the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Increases with every process on the host. 0 for an entry known only from the host list.
    pub generation: u64,
    /// Increases with every update within a process, including refutations.
    pub counter: u64,
}

/// State that an entry announces for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// Not ready for callers: the entry is starting or stale.
    #[default]
    Unready,
    /// Accepts calls.
    Ready,
    /// In its planned stop. Final for the process.
    Leaving,
}

/// An entry's announcement of itself, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Host name.
    pub host: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Listen addresses.
    pub addresses: Addresses,
    /// Orders the records of the host; a later version replaces an earlier one.
    pub version: Version,
    /// Announced state.
    pub availability: Availability,
    /// Token that callers must send with calls that are not idempotent.
    pub token: String,
    /// Entry set size that it requests for each service under its own load, where that exceeds the
    /// configured minimum.
    pub requested_sizes: Vec<(Arc<str>, u16)>,
}

/// Report that an entry does not hear from another one that it monitors.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accusation {
    /// Host name of the silent entry.
    pub host: Arc<str>,
    /// Version of its record known to the accuser; a later version refutes the accusation.
    pub version: Version,
    /// Host name of the accuser.
    pub accuser: Arc<str>,
}

/// Report that a target is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Host name of the target.
    pub target: Arc<str>,
    /// Incarnation that is leaving; empty if unknown.
    pub incarnation: Arc<str>,
}

/// Kind of a value that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The settings document.
    Settings,
    /// The host list.
    Hosts,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 2] = [Self::Settings, Self::Hosts];
}

/// Revisions of one topic known to one entry, as codes of
/// [`PublishedRevision`](super::PublishedRevision)s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Highest accepted revision.
    pub accepted: u64,
    /// Highest revision seen, including refused ones.
    pub seen: u64,
}

/// State that is piggybacked on most messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Sender's revisions of the settings.
    pub settings: Revisions,
    /// Sender's revisions of the host list.
    pub hosts: Revisions,
    /// Hash of the record versions of all entries that are not gone for the sender, including its
    /// own, and of the leaving reports in force.
    pub digest: u64,
    /// Records that may be new to the receiver.
    pub records: Vec<EntryRecord>,
    /// Accusations that may be new to the receiver.
    pub accusations: Vec<Accusation>,
    /// Leaving reports that may be new to the receiver.
    pub leaving_reports: Vec<LeavingReport>,
}

impl Gossip {
    /// Returns the sender's revisions of `topic`.
    pub fn revisions(&self, topic: Topic) -> Revisions {
        match topic {
            Topic::Settings => self.settings,
            Topic::Hosts => self.hosts,
        }
    }
}

/// A revision of a value, encoded as the difference from a base revision.
///
/// The new text is a prefix of the base, a replacement and a suffix of the base. Against the empty
/// base the replacement is the whole text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Kind of the value.
    pub topic: Topic,
    /// Code of the revision of the new text.
    pub revision: u64,
    /// Code of the revision that the delta applies to; 0 stands for the empty text.
    pub base: u64,
    /// Bytes taken from the start of the base.
    pub prefix_bytes: u32,
    /// Bytes taken from the end of the base.
    pub suffix_bytes: u32,
    /// Text between prefix and suffix.
    pub replacement: String,
    /// 64-bit XXH3 hash of the new text.
    pub hash: u64,
}

/// Body of a message between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an acknowledgement.
    Ping {
        /// Number that the acknowledgement repeats. 0 in pings to seed addresses.
        number: u64,
        /// Consecutive unacknowledged pings before this one.
        missed: u32,
        /// Piggybacked state.
        gossip: Gossip,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the acknowledged ping.
        number: u64,
        /// Piggybacked state.
        gossip: Gossip,
    },
    /// New state, sent without waiting for a ping.
    Gossip(Gossip),
    /// Requests a revision of a value.
    Request {
        /// Kind of the value.
        topic: Topic,
        /// Code of the revision that the sender has, for use as the base of a delta.
        base: u64,
        /// Code of the requested revision.
        revision: u64,
    },
    /// Answers a request with a revision of a value.
    Delta(Delta),
    /// Anti-entropy: versions of all records that the sender knows, from which the receiver finds
    /// what either side lacks.
    Summary {
        /// Host names and record versions.
        versions: Vec<(Arc<str>, Version)>,
        /// Host names and record versions of entries that are gone for the sender.
        gone: Vec<(Arc<str>, Version)>,
        /// Leaving reports in force.
        leaving_reports: Vec<LeavingReport>,
        /// Whether the receiver must answer with its own summary.
        reply: bool,
    },
    /// Free slots of the sender by service, for services whose entry set has both the sender and
    /// the receiver.
    FreeSlots(Vec<(Arc<str>, u32)>),
}

/// Sender, receiver and sequence number of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Host name of the sender.
    pub from: Arc<str>,
    /// Generation of the sender's process.
    pub generation: u64,
    /// Increases with every message of the process.
    pub sequence: u64,
    /// Host name of the receiver; empty if the sender knows only its address.
    pub to: Arc<str>,
}
