//! One entry of the fleet as seen by another.

use super::message::{Accusation, Addresses, Condition, Heads, Record, Version};
use crate::{Timestamp, chart::Label};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Text of the chart of [`Standing`].
pub const PEER_CHART: &str = include_str!("../../charts/peer.toml");

/// Distinct accusers that make an entry suspect, where so many are left to monitor it.
pub const ACCUSERS_NEEDED: usize = 2;
/// How long an accusation counts unless it is made again.
pub const ACCUSATION_HOLD: Duration = Duration::from_millis(2_500);

/// An accusation that is made again after so long is passed on again.
const REPEATED_AFTER: Duration = Duration::from_millis(700);

/// What this entry thinks of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
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

impl Standing {
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

impl Label for Standing {
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
pub(super) struct Role {
    usable: bool,
    failure_domain: Arc<str>,
    wanted: Vec<(Arc<str>, u16)>,
}

/// One entry of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it last said of itself, or what the host list says.
    pub record: Record,
    /// What this entry thinks of it.
    pub standing: Standing,
    /// When the standing last changed.
    pub since: Timestamp,
    /// Revisions of the settings that it last told.
    pub settings: Heads,
    /// Revisions of the host list that it last told.
    pub hosts: Heads,
    /// Whether the host list calls it leaving.
    pub retiring: bool,
    /// Addresses in the host list, if it names the entry. They go before its own.
    pub listed: Option<Addresses>,
    /// Whether it did not answer the last roll call of this entry.
    pub silent: bool,
    accusers: IndexMap<Arc<str>, Timestamp>,
    given_up: Option<Timestamp>,
}

impl Member {
    pub(super) fn new(now: Timestamp, record: Record) -> Self {
        Self {
            record,
            standing: Standing::Listed,
            since: now,
            settings: Heads::default(),
            hosts: Heads::default(),
            retiring: false,
            listed: None,
            silent: false,
            accusers: IndexMap::new(),
            given_up: None,
        }
    }

    /// Where it is reached.
    pub fn addresses(&self) -> Addresses {
        self.listed.unwrap_or(self.record.addresses)
    }

    /// Whether it ever said anything of itself.
    pub fn is_heard(&self) -> bool {
        self.record.version != Version::default()
    }

    /// Whether callers may be directed to it.
    pub fn is_usable(&self) -> bool {
        let known = matches!(self.standing, Standing::Alive | Standing::Suspect);
        known && !self.retiring && self.record.condition == Condition::Ready
    }

    /// What the entry sets depend on.
    pub(super) fn role(&self) -> Role {
        Role {
            usable: self.is_usable(),
            failure_domain: Arc::clone(&self.record.failure_domain),
            wanted: self.record.wanted.clone(),
        }
    }

    /// Whether callers are better directed to it than to those that nobody hears.
    pub fn is_reachable(&self) -> bool {
        self.standing == Standing::Alive && !self.silent
    }

    /// Whether it has a place on the rings.
    pub fn is_monitored(&self) -> bool {
        self.standing != Standing::Gone
    }

    pub(super) fn replace(&mut self, record: Record) {
        self.record = record;
        self.forgive();
    }

    pub(super) fn accuse(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        if accusation.version < self.record.version {
            return false;
        }
        let last = self.accusers.insert(Arc::clone(&accusation.accuser), now);
        last.is_none_or(|at| now.since(at) >= REPEATED_AFTER)
    }

    pub(super) fn acquit(&mut self, accuser: &str) {
        self.silent = false;
        self.accusers.shift_remove(accuser);
    }

    /// A peer that reaches half of the fleet has given the member up.
    pub(super) fn give_up(&mut self, now: Timestamp) {
        self.given_up = Some(now);
    }

    pub(super) fn forgive(&mut self) {
        self.accusers.clear();
        self.given_up = None;
    }

    pub(super) fn accusers(&mut self, now: Timestamp) -> usize {
        self.accusers.retain(|_, at| now.since(*at) < ACCUSATION_HOLD);
        let given_up = self.given_up.is_some_and(|at| now.since(at) < ACCUSATION_HOLD);
        self.accusers.len().max(if given_up { ACCUSERS_NEEDED } else { 0 })
    }
}
