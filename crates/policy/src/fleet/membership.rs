//! Membership and failure detection.
//!
//! Entries monitor each other on rings and accuse those that they do not hear. An entry becomes
//! suspect once enough of its monitors accuse it, so that a single faulty link removes no entry. It
//! is gone unless it refutes in time with a later version of its record. An entry that reaches less
//! than half of the fleet is more likely to be at fault itself: it keeps unreachable entries as
//! suspect, so that a partition does not empty its view.

use super::{
    member::{MIN_ACCUSERS, Member, PeerEvent, PeerState},
    message::{Accusation, Availability, EntryRecord, Version},
    rings,
};
use crate::{Timestamp, chart::Chart};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time that a suspect entry has to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a gone entry still takes part in quorum checks.
pub const GONE_CHECK_WINDOW: Duration = Duration::from_secs(20);
/// Time after which a gone entry is removed if the host list does not name it.
pub const GONE_RETENTION: Duration = Duration::from_secs(60);

/// State change of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStateChange {
    /// Host name.
    pub host: Arc<str>,
    /// Previous state.
    pub from: PeerState,
    /// New state.
    pub to: PeerState,
}

/// All entries other than this one.
#[derive(Clone, Debug)]
pub struct Membership {
    host: Arc<str>,
    chart: Chart<PeerState, PeerEvent>,
    members: IndexMap<Arc<str>, Member>,
    changes: Vec<PeerStateChange>,
}

impl Membership {
    /// Creates the membership of the entry `host`, without members.
    pub fn new(host: Arc<str>, chart: Chart<PeerState, PeerEvent>) -> Self {
        Self { host, chart, members: IndexMap::new(), changes: Vec::new() }
    }

    /// Returns the member `host`.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Iterates over all members, with their host names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.members.iter()
    }

    pub(super) fn get_mut(&mut self, host: &str) -> Option<&mut Member> {
        self.members.get_mut(host)
    }

    /// Returns and clears the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PeerStateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Applies a record received from an entry, directly or through others. Returns whether it
    /// replaced the known one.
    pub fn apply_record(&mut self, now: Timestamp, record: &EntryRecord) -> bool {
        if record.host == self.host {
            return false;
        }
        let member = self
            .members
            .entry(Arc::clone(&record.host))
            .or_insert_with(|| Member::new(now, placeholder(record)));
        if record.version <= member.record.version {
            return false;
        }
        let same_process = record.version.generation == member.record.version.generation;
        if same_process && member.record.availability == Availability::Leaving {
            return false;
        }
        member.set_record(record.clone());
        let event = match record.availability {
            Availability::Leaving => PeerEvent::Left,
            Availability::Ready | Availability::Unready => PeerEvent::Heard,
        };
        self.transition(now, &record.host, event);
        true
    }

    /// Applies the entries of a host list, each with whether the list marks it as leaving.
    pub fn apply_host_list(
        &mut self,
        now: Timestamp,
        listed: &IndexMap<Arc<str>, (EntryRecord, bool)>,
    ) {
        for (host, (record, listed_leaving)) in listed {
            if *host == self.host {
                continue;
            }
            let member = self
                .members
                .entry(Arc::clone(host))
                .or_insert_with(|| Member::new(now, placeholder(record)));
            member.listed_addresses = Some(record.addresses);
            member.listed_leaving = *listed_leaving;
            if !member.has_announced() {
                member.record = placeholder(record);
            }
        }
        let mut dropped = Vec::new();
        for (host, member) in &mut self.members {
            if !listed.contains_key(host) {
                member.listed_addresses = None;
                let not_heard = matches!(member.state, PeerState::Listed | PeerState::Suspect);
                if not_heard {
                    dropped.push(Arc::clone(host));
                }
            }
        }
        for host in dropped {
            self.transition(now, &host, PeerEvent::Dropped);
        }
    }

    /// Records an accusation. Returns whether it should be forwarded.
    pub fn add_accusation(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        match self.members.get_mut(&accusation.host) {
            Some(member) => member.add_accusation(now, accusation),
            None => false,
        }
    }

    /// Records that an entry is gone for a peer. Returns whether to forward the accusation.
    pub(super) fn apply_gone_report(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        let Some(member) = self.members.get_mut(&accusation.host) else { return false };
        if member.state == PeerState::Gone || accusation.version < member.record.version {
            return false;
        }
        member.report_gone(now);
        member.add_accusation(now, accusation)
    }

    /// Withdraws this entry's own accusation of a member that it has heard.
    pub fn clear_accusation(&mut self, host: &str) {
        let own = Arc::clone(&self.host);
        if let Some(member) = self.members.get_mut(host) {
            member.clear_accusation(&own);
        }
    }

    /// Clears all accusations and restarts suspicion timeouts, after a pause of the process.
    pub fn clear_accusations(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.clear_accusations();
            member.since = member.since.max(now);
        }
    }

    /// Updates the states of members from their accusations. `quorum_since` is the start of the
    /// last quorum check that passed: only entries that were suspect by then are declared gone.
    /// Leaving entries that are accused need no check.
    pub fn tick(&mut self, now: Timestamp, quorum_since: Option<Timestamp>) {
        let ring = self.ring();
        let accuser_counts = self.accuser_counts(now);
        for host in self.members.keys().cloned().collect::<Vec<_>>() {
            let count = accuser_counts.get(&host).copied().unwrap_or_default();
            let accused = count > 0 && count >= required_accusers(&host, &ring, &accuser_counts);
            let Some(member) = self.members.get(&host) else { continue };
            let timed_out = now.since(member.since) >= SUSPICION_TIMEOUT;
            match member.state {
                PeerState::Listed | PeerState::Alive if accused => {
                    self.transition(now, &host, PeerEvent::Accused);
                }
                PeerState::Suspect if !accused => {
                    self.transition(now, &host, PeerEvent::Cleared);
                }
                PeerState::Suspect if timed_out && quorum_since >= Some(member.since) => {
                    self.transition(now, &host, PeerEvent::Expired);
                }
                PeerState::Leaving if timed_out && accused => {
                    self.transition(now, &host, PeerEvent::Expired);
                }
                _ => {}
            }
        }
        self.members.retain(|_, m| {
            let expired = now.since(m.since) >= GONE_RETENTION;
            m.state != PeerState::Gone || m.listed_addresses.is_some() || !expired
        });
    }

    /// Returns the entries that a quorum check may ping: all that have announced themselves, except
    /// those that left and those that are gone for longer than [`GONE_CHECK_WINDOW`].
    pub(super) fn quorum_candidates(&self, now: Timestamp) -> Vec<Arc<str>> {
        let candidates = self.members.iter().filter(|(_, m)| match m.state {
            PeerState::Alive | PeerState::Suspect => m.has_announced(),
            PeerState::Gone => {
                let left = m.record.availability == Availability::Leaving;
                m.has_announced() && !left && now.since(m.since) < GONE_CHECK_WINDOW
            }
            PeerState::Listed | PeerState::Leaving => false,
        });
        candidates.map(|(host, _)| Arc::clone(host)).collect()
    }

    /// Returns when the most recent of the suspect entries became suspect.
    pub(super) fn last_suspicion(&self) -> Option<Timestamp> {
        let suspect = self.members.values().filter(|m| m.state == PeerState::Suspect);
        suspect.map(|m| m.since).max()
    }

    /// Clears the result of the last quorum check, which is out of date once no member is suspect.
    /// Returns whether any member changed.
    pub(super) fn clear_unresponsive(&mut self) -> bool {
        let unresponsive = self.members.values_mut().filter(|m| m.unresponsive);
        unresponsive.map(|m| m.unresponsive = false).count() > 0
    }

    /// Returns the host names on the rings in sorted order, including this entry.
    pub fn ring(&self) -> Vec<Arc<str>> {
        let monitored = self.members.iter().filter(|(_, m)| m.is_monitored());
        let mut ring: Vec<_> = monitored.map(|(host, _)| Arc::clone(host)).collect();
        ring.push(Arc::clone(&self.host));
        ring.sort_unstable();
        ring
    }

    /// Returns the hash of the record versions of all members that are not gone.
    pub fn digest(&self) -> u64 {
        self.members
            .values()
            .filter(|m| m.has_announced() && m.state != PeerState::Gone)
            .fold(0, |sum, m| sum ^ version_hash(&m.record.host, m.record.version))
    }

    fn accuser_counts(&mut self, now: Timestamp) -> IndexMap<Arc<str>, usize> {
        let counts =
            self.members.iter_mut().map(|(host, m)| (Arc::clone(host), m.accuser_count(now)));
        counts.filter(|(_, n)| *n > 0).collect()
    }

    fn transition(&mut self, now: Timestamp, host: &Arc<str>, event: PeerEvent) {
        let Some(member) = self.members.get_mut(host) else { return };
        let from = member.state;
        let to = self.chart.next(from, event);
        if from != to {
            member.state = to;
            member.since = now;
            self.changes.push(PeerStateChange { host: Arc::clone(host), from, to });
        }
    }
}

/// Returns the hash of one record's version, for digests.
pub(super) fn version_hash(host: &str, version: Version) -> u64 {
    let seed = version.generation.rotate_left(32) ^ version.counter;
    xxh3_64_with_seed(host.as_bytes(), seed)
}

/// Returns how many accusers make `host` suspect: [`MIN_ACCUSERS`], or as many as it has monitors
/// that are not accused themselves if these are fewer, but at least one.
fn required_accusers(
    host: &str,
    ring: &[Arc<str>],
    accuser_counts: &IndexMap<Arc<str>, usize>,
) -> usize {
    let monitors = rings::predecessors(host, ring);
    let unaccused = monitors.iter().filter(|m| !accuser_counts.contains_key(*m)).count();
    unaccused.clamp(1, MIN_ACCUSERS)
}

/// Returns `record` as known from the host list alone, with the initial version.
fn placeholder(record: &EntryRecord) -> EntryRecord {
    let availability = Availability::Unready;
    let requested_sizes = Vec::new();
    EntryRecord {
        version: Version::default(),
        availability,
        token: String::new(),
        requested_sizes,
        ..record.clone()
    }
}
