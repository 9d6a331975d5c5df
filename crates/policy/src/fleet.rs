//! Cluster state of the entries: membership, settings in force, entry sets and leaving targets.
//!
//! [`Fleet`] is the state machine that each entry runs. Its parts can also be used on their own.

mod entry_sets;
mod envelope;
mod gossip;
mod heartbeat;
mod leaving;
mod lifecycle;
mod member;
mod membership;
mod message;
mod monitor;
mod node;
mod pacer;
mod placement;
mod quorum;
mod revision;
mod revision_store;
mod rings;
mod sizer;
mod slots;
mod values;

pub use entry_sets::EntrySets;
pub use envelope::{MAX_MESSAGE_BYTES, MessageError, ReplayGuard, open, seal};
pub use heartbeat::{HEARTBEAT_INTERVAL, STALE_AFTER};
pub use leaving::{LeavingTargets, ListedTarget};
pub use lifecycle::{ENTRY_CHART, Lifecycle, LifecycleEvent};
pub use member::{ACCUSATION_TTL, MIN_ACCUSERS, Member, PEER_CHART, PeerEvent, PeerState};
pub use membership::{
    GONE_CHECK_WINDOW, GONE_RETENTION, Membership, PeerStateChange, SUSPICION_TIMEOUT,
};
pub use message::{
    Accusation, Addresses, Availability, Body, Delta, EntryRecord, Gossip, Header, LeavingReport,
    Revisions, Topic, Version,
};
pub use monitor::{MAX_MISSED_PINGS, Monitor, Ping};
pub use node::{Action, Fleet, FleetBuilder};
pub use pacer::{FLEET_CALLS_PER_S, Pacer, token_interval};
pub use placement::{Candidate, place};
pub use quorum::{QUORUM_SAMPLE, QUORUM_TIMEOUT};
pub use revision::PublishedRevision;
pub use revision_store::{AcceptedDocument, RefusedDocument, RevisionStore, Verdict};
pub use rings::{RING_COUNT, predecessors, successors};
pub use sizer::{CallMeter, GROW_THRESHOLD, RESIZE_GOAL, SHRINK_THRESHOLD, ServiceLoad, SetSizer};
pub use slots::{FREE_SLOTS_TTL, FreeSlots, SLOT_BYTES_PER_S};
pub use values::WATCHERS_PER_DOMAIN;
