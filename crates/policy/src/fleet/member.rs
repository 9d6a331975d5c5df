//! A peer as seen by this entry.

use super::message::{Accusation, Addresses, Availability, EntryRecord, Revisions, Version};
use crate::{Timestamp, chart::Label};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// State chart of [`PeerState`], in TOML.
pub const PEER_CHART: &str = include_str!("../../charts/peer.toml");

/// Distinct accusers that make an entry suspect. Fewer suffice if fewer of its monitors are left.
pub const MIN_ACCUSERS: usize = 2;
/// Time after which an accusation expires unless it is repeated.
pub const ACCUSATION_TTL: Duration = Duration::from_millis(2_500);

/// A repeated accusation is forwarded if the previous one is at least this old.
const FORWARD_INTERVAL: Duration = Duration::from_millis(700);

/// State of a peer in the view of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// In the host list, but no record received yet.
    Listed,
    /// Its record was received, directly or through other entries.
    Alive,
    /// Accused by enough of its monitors.
    Suspect,
    /// In its planned stop.
    Leaving,
    /// Unreachable for too long, or removed from the host list.
    Gone,
}

impl PeerState {
    /// Returns the name used in logs and in the chart.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

impl Label for PeerState {
    const ALL: &'static [Self] =
        &[Self::Listed, Self::Alive, Self::Suspect, Self::Leaving, Self::Gone];

    fn label(self) -> &'static str {
        self.as_str()
    }
}

/// Event that may change the state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A later record was received, and it is not leaving.
    Heard,
    /// Enough of its monitors accuse it.
    Accused,
    /// Too few accusations are left.
    Cleared,
    /// It was suspect, or leaving and accused, for too long.
    Expired,
    /// A later record was received, and it is leaving.
    Left,
    /// The host list no longer names it, and it is listed or suspect.
    Dropped,
}

impl Label for PeerEvent {
    const ALL: &'static [Self] =
        &[Self::Heard, Self::Accused, Self::Cleared, Self::Expired, Self::Left, Self::Dropped];

    fn label(self) -> &'static str {
        match self {
            Self::Heard => "heard",
            Self::Accused => "accused",
            Self::Cleared => "cleared",
            Self::Expired => "expired",
            Self::Left => "left",
            Self::Dropped => "dropped",
        }
    }
}

/// Properties of a member that determine the entry sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlacementInputs {
    usable: bool,
    failure_domain: Arc<str>,
    requested_sizes: Vec<(Arc<str>, u16)>,
}

/// Another entry of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest record; built from the host list until one is received.
    pub record: EntryRecord,
    /// State in the view of this entry.
    pub state: PeerState,
    /// When the state last changed.
    pub since: Timestamp,
    /// Revisions of the settings in its last gossip.
    pub settings: Revisions,
    /// Revisions of the host list in its last gossip.
    pub hosts: Revisions,
    /// Whether the host list marks it as leaving.
    pub listed_leaving: bool,
    /// Addresses in the host list, if it names the entry. They take precedence over the record's.
    pub listed_addresses: Option<Addresses>,
    /// Whether it did not answer the last quorum check of this entry.
    pub unresponsive: bool,
    /// Accusers, with the time at which each last accused it.
    accusers: IndexMap<Arc<str>, Timestamp>,
    /// When a peer last reported it as gone.
    reported_gone: Option<Timestamp>,
}

impl Member {
    pub(super) fn new(now: Timestamp, record: EntryRecord) -> Self {
        Self {
            record,
            state: PeerState::Listed,
            since: now,
            settings: Revisions::default(),
            hosts: Revisions::default(),
            listed_leaving: false,
            listed_addresses: None,
            unresponsive: false,
            accusers: IndexMap::new(),
            reported_gone: None,
        }
    }

    /// Returns the addresses at which it is reached.
    pub fn addresses(&self) -> Addresses {
        self.listed_addresses.unwrap_or(self.record.addresses)
    }

    /// Returns whether a record of its own was ever received, as opposed to the host list's.
    pub fn has_announced(&self) -> bool {
        self.record.version != Version::default()
    }

    /// Returns whether callers may be directed to it.
    pub fn is_usable(&self) -> bool {
        let in_fleet = matches!(self.state, PeerState::Alive | PeerState::Suspect);
        in_fleet && !self.listed_leaving && self.record.availability == Availability::Ready
    }

    /// Returns the properties that determine the entry sets.
    pub(super) fn placement_inputs(&self) -> PlacementInputs {
        PlacementInputs {
            usable: self.is_usable(),
            failure_domain: Arc::clone(&self.record.failure_domain),
            requested_sizes: self.record.requested_sizes.clone(),
        }
    }

    /// Returns whether callers should prefer it: it is alive and answered the last quorum check.
    pub fn is_reachable(&self) -> bool {
        self.state == PeerState::Alive && !self.unresponsive
    }

    /// Returns whether it is part of the monitoring rings.
    pub fn is_monitored(&self) -> bool {
        self.state != PeerState::Gone
    }

    /// Replaces the record, which refutes all accusations.
    pub(super) fn set_record(&mut self, record: EntryRecord) {
        self.record = record;
        self.clear_accusations();
    }

    /// Records an accusation. Returns whether it should be forwarded.
    pub(super) fn add_accusation(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        if accusation.version < self.record.version {
            return false;
        }
        let last = self.accusers.insert(Arc::clone(&accusation.accuser), now);
        last.is_none_or(|at| now.since(at) >= FORWARD_INTERVAL)
    }

    /// Withdraws the accusation of `accuser` and marks the member as responsive.
    pub(super) fn clear_accusation(&mut self, accuser: &str) {
        self.unresponsive = false;
        self.accusers.shift_remove(accuser);
    }

    /// Records that the member is gone for a peer that passed a quorum check.
    pub(super) fn report_gone(&mut self, now: Timestamp) {
        self.reported_gone = Some(now);
    }

    pub(super) fn clear_accusations(&mut self) {
        self.accusers.clear();
        self.reported_gone = None;
    }

    /// Returns the number of accusers. A peer's report that the member is gone counts as
    /// [`MIN_ACCUSERS`].
    pub(super) fn accuser_count(&mut self, now: Timestamp) -> usize {
        self.accusers.retain(|_, at| now.since(*at) < ACCUSATION_TTL);
        let reported_gone = self.reported_gone.is_some_and(|at| now.since(at) < ACCUSATION_TTL);
        self.accusers.len().max(if reported_gone { MIN_ACCUSERS } else { 0 })
    }
}
