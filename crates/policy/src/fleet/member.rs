//! One entry of the fleet as seen by another.

use super::message::{Accusation, Addresses, Availability, EntryRecord, Revisions, Version};
use crate::{Timestamp, chart::Label};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Text of the chart of [`PeerState`].
pub const PEER_CHART: &str = include_str!("../../charts/peer.toml");

/// Distinct accusers that make an entry suspect, where so many are left to monitor it.
pub const MIN_ACCUSERS: usize = 2;
/// How long an accusation counts unless it is made again.
pub const ACCUSATION_TTL: Duration = Duration::from_millis(2_500);

/// An accusation that is made again after so long is passed on again.
const FORWARD_INTERVAL: Duration = Duration::from_millis(700);

/// What this entry thinks of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// Named by the host list, not heard yet.
    Listed,
    /// Heard, directly or through others.
    Alive,
    /// Not heard by enough of its monitors.
    Suspect,
    /// In its planned stop.
    Leaving,
    /// Not heard for too long, or dropped from the host list.
    Gone,
}

impl PeerState {
    /// Name in logs and in the chart.
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

/// What changes the standing of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A later version was heard, and it is not leaving.
    Heard,
    /// Enough monitors accuse it.
    Accused,
    /// Accusations lapsed.
    Cleared,
    /// It stayed suspect, or leaving and accused, for too long.
    Expired,
    /// A later version was heard, and it is leaving.
    Left,
    /// The host list left it out while nobody heard it.
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

/// What the entry sets depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlacementInputs {
    usable: bool,
    failure_domain: Arc<str>,
    requested_sizes: Vec<(Arc<str>, u16)>,
}

/// One entry of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it last said of itself, or what the host list says.
    pub record: EntryRecord,
    /// What this entry thinks of it.
    pub state: PeerState,
    /// When the standing last changed.
    pub since: Timestamp,
    /// Revisions of the settings that it last told.
    pub settings: Revisions,
    /// Revisions of the host list that it last told.
    pub hosts: Revisions,
    /// Whether the host list calls it leaving.
    pub listed_leaving: bool,
    /// Addresses in the host list, if it names the entry. They go before its own.
    pub listed_addresses: Option<Addresses>,
    /// Whether it did not answer the last roll call of this entry.
    pub unresponsive: bool,
    accusers: IndexMap<Arc<str>, Timestamp>,
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

    /// Where it is reached.
    pub fn addresses(&self) -> Addresses {
        self.listed_addresses.unwrap_or(self.record.addresses)
    }

    /// Whether it ever said anything of itself.
    pub fn has_announced(&self) -> bool {
        self.record.version != Version::default()
    }

    /// Whether callers may be directed to it.
    pub fn is_usable(&self) -> bool {
        let in_fleet = matches!(self.state, PeerState::Alive | PeerState::Suspect);
        in_fleet && !self.listed_leaving && self.record.availability == Availability::Ready
    }

    /// What the entry sets depend on.
    pub(super) fn placement_inputs(&self) -> PlacementInputs {
        PlacementInputs {
            usable: self.is_usable(),
            failure_domain: Arc::clone(&self.record.failure_domain),
            requested_sizes: self.record.requested_sizes.clone(),
        }
    }

    /// Whether callers are better directed to it than to those that nobody hears.
    pub fn is_reachable(&self) -> bool {
        self.state == PeerState::Alive && !self.unresponsive
    }

    /// Whether it has a place on the rings.
    pub fn is_monitored(&self) -> bool {
        self.state != PeerState::Gone
    }

    pub(super) fn set_record(&mut self, record: EntryRecord) {
        self.record = record;
        self.clear_accusations();
    }

    pub(super) fn add_accusation(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        if accusation.version < self.record.version {
            return false;
        }
        let last = self.accusers.insert(Arc::clone(&accusation.accuser), now);
        last.is_none_or(|at| now.since(at) >= FORWARD_INTERVAL)
    }

    pub(super) fn clear_accusation(&mut self, accuser: &str) {
        self.unresponsive = false;
        self.accusers.shift_remove(accuser);
    }

    /// A peer that reaches half of the fleet has given the member up.
    pub(super) fn report_gone(&mut self, now: Timestamp) {
        self.reported_gone = Some(now);
    }

    pub(super) fn clear_accusations(&mut self) {
        self.accusers.clear();
        self.reported_gone = None;
    }

    pub(super) fn accuser_count(&mut self, now: Timestamp) -> usize {
        self.accusers.retain(|_, at| now.since(*at) < ACCUSATION_TTL);
        let reported_gone = self.reported_gone.is_some_and(|at| now.since(at) < ACCUSATION_TTL);
        self.accusers.len().max(if reported_gone { MIN_ACCUSERS } else { 0 })
    }
}
