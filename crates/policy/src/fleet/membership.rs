//! Which entries there are.
//!
//! Entries monitor each other on rings and accuse those that they do not hear. An accused entry is
//! suspect once enough of its monitors accuse it, so that one faulty link removes nobody, and gone
//! when it has not refuted in time with a later version of its record. An entry that does not reach
//! half of the fleet is likelier at fault itself: it keeps the lost entries as suspect, so that a
//! partition does not empty its view.

use super::{
    member::{ACCUSERS_NEEDED, Member, PeerEvent, Standing},
    message::{Accusation, Condition, Record, Version},
    rings,
};
use crate::{Timestamp, chart::Chart};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a suspect entry has to refute.
pub const SUSPICION: Duration = Duration::from_millis(1_000);
/// How long a lost entry is still asked in roll calls.
pub const LOSS_MEMORY: Duration = Duration::from_secs(20);
/// How long an entry that is gone and not listed is remembered.
pub const GONE_MEMORY: Duration = Duration::from_secs(60);

/// Something that the owner of the membership has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Host name.
    pub host: Arc<str>,
    /// Standing before.
    pub from: Standing,
    /// Standing now.
    pub to: Standing,
}

/// All entries but this one.
#[derive(Clone, Debug)]
pub struct Membership {
    host: Arc<str>,
    chart: Chart<Standing, PeerEvent>,
    members: IndexMap<Arc<str>, Member>,
    changes: Vec<Change>,
}

impl Membership {
    /// Nobody but `host`, which is this entry.
    pub fn new(host: Arc<str>, chart: Chart<Standing, PeerEvent>) -> Self {
        Self { host, chart, members: IndexMap::new(), changes: Vec::new() }
    }

    /// A member.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.members.iter()
    }

    pub(super) fn get_mut(&mut self, host: &str) -> Option<&mut Member> {
        self.members.get_mut(host)
    }

    /// Standings that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in what an entry says of itself, directly or through others. True when it is later
    /// than what was known.
    pub fn record(&mut self, now: Timestamp, record: &Record) -> bool {
        if record.host == self.host {
            return false;
        }
        let member = self
            .members
            .entry(Arc::clone(&record.host))
            .or_insert_with(|| Member::new(now, unheard(record)));
        if record.version <= member.record.version {
            return false;
        }
        let same_process = record.version.generation == member.record.version.generation;
        if same_process && member.record.condition == Condition::Leaving {
            return false;
        }
        member.replace(record.clone());
        let event = match record.condition {
            Condition::Leaving => PeerEvent::Left,
            Condition::Ready | Condition::Unready => PeerEvent::Heard,
        };
        self.step(now, &record.host, event);
        true
    }

    /// Takes in the entries of a host list, with whether the list calls them leaving.
    pub fn list(&mut self, now: Timestamp, listed: &IndexMap<Arc<str>, (Record, bool)>) {
        for (host, (record, retiring)) in listed {
            if *host == self.host {
                continue;
            }
            let member = self
                .members
                .entry(Arc::clone(host))
                .or_insert_with(|| Member::new(now, unheard(record)));
            member.listed = Some(record.addresses);
            member.retiring = *retiring;
            if !member.is_heard() {
                member.record = unheard(record);
            }
        }
        let mut dropped = Vec::new();
        for (host, member) in &mut self.members {
            if !listed.contains_key(host) {
                member.listed = None;
                let silent = matches!(member.standing, Standing::Listed | Standing::Suspect);
                if silent {
                    dropped.push(Arc::clone(host));
                }
            }
        }
        for host in dropped {
            self.step(now, &host, PeerEvent::Dropped);
        }
    }

    /// Takes in an accusation. True when it is new.
    pub fn accuse(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        match self.members.get_mut(&accusation.host) {
            Some(member) => member.accuse(now, accusation),
            None => false,
        }
    }

    /// A peer has given up an entry. True when that is news.
    pub(super) fn give_up(&mut self, now: Timestamp, accusation: &Accusation) -> bool {
        let Some(member) = self.members.get_mut(&accusation.host) else { return false };
        if member.standing == Standing::Gone || accusation.version < member.record.version {
            return false;
        }
        member.give_up(now);
        member.accuse(now, accusation)
    }

    /// This entry heard the member itself.
    pub fn acquit(&mut self, host: &str) {
        let own = Arc::clone(&self.host);
        if let Some(member) = self.members.get_mut(host) {
            member.acquit(&own);
        }
    }

    /// The process was paused: accusations and suspicions begin anew.
    pub fn forgive(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.forgive();
            member.since = member.since.max(now);
        }
    }

    /// Works out who is suspect and who is gone. `passed` is when the last roll call began that
    /// reached half of the fleet: only entries that were suspect by then are given up.
    pub fn tick(&mut self, now: Timestamp, passed: Option<Timestamp>) {
        let ring = self.ring();
        let accused = self.accused(now);
        for host in self.members.keys().cloned().collect::<Vec<_>>() {
            let count = accused.get(&host).copied().unwrap_or_default();
            let enough = count > 0 && count >= needed(&host, &ring, &accused);
            let Some(member) = self.members.get(&host) else { continue };
            let waited = now.since(member.since) >= SUSPICION;
            match member.standing {
                Standing::Listed | Standing::Alive if enough => {
                    self.step(now, &host, PeerEvent::Accused);
                }
                Standing::Suspect if !enough => {
                    self.step(now, &host, PeerEvent::Cleared);
                }
                Standing::Suspect if waited && passed >= Some(member.since) => {
                    self.step(now, &host, PeerEvent::Expired);
                }
                Standing::Leaving if waited && enough => {
                    self.step(now, &host, PeerEvent::Expired);
                }
                _ => {}
            }
        }
        self.members.retain(|_, m| {
            let old = now.since(m.since) >= GONE_MEMORY;
            m.standing != Standing::Gone || m.listed.is_some() || !old
        });
    }

    /// Entries that a roll call may ask: all that were heard, but for those that left, and for
    /// those that are gone longer than the memory of losses.
    pub(super) fn roll(&self, now: Timestamp) -> Vec<Arc<str>> {
        let roll = self.members.iter().filter(|(_, m)| match m.standing {
            Standing::Alive | Standing::Suspect => m.is_heard(),
            Standing::Gone => {
                let left = m.record.condition == Condition::Leaving;
                m.is_heard() && !left && now.since(m.since) < LOSS_MEMORY
            }
            Standing::Listed | Standing::Leaving => false,
        });
        roll.map(|(host, _)| Arc::clone(host)).collect()
    }

    /// When the last entry became suspect that is so still.
    pub(super) fn last_suspicion(&self) -> Option<Timestamp> {
        let suspect = self.members.values().filter(|m| m.standing == Standing::Suspect);
        suspect.map(|m| m.since).max()
    }

    /// Nobody is suspect any more, so the answers of the last roll call are out of date. True when
    /// that changes anything.
    pub(super) fn clear_silence(&mut self) -> bool {
        let silent = self.members.values_mut().filter(|m| m.silent);
        silent.map(|m| m.silent = false).count() > 0
    }

    /// Host names on the rings, this entry included, in order.
    pub fn ring(&self) -> Vec<Arc<str>> {
        let monitored = self.members.iter().filter(|(_, m)| m.is_monitored());
        let mut ring: Vec<_> = monitored.map(|(host, _)| Arc::clone(host)).collect();
        ring.push(Arc::clone(&self.host));
        ring.sort_unstable();
        ring
    }

    /// Hash of the versions of all members that are not gone.
    pub fn digest(&self) -> u64 {
        self.members
            .values()
            .filter(|m| m.is_heard() && m.standing != Standing::Gone)
            .fold(0, |sum, m| sum ^ hash(&m.record.host, m.record.version))
    }

    fn accused(&mut self, now: Timestamp) -> IndexMap<Arc<str>, usize> {
        let counts = self.members.iter_mut().map(|(host, m)| (Arc::clone(host), m.accusers(now)));
        counts.filter(|(_, n)| *n > 0).collect()
    }

    fn step(&mut self, now: Timestamp, host: &Arc<str>, event: PeerEvent) {
        let Some(member) = self.members.get_mut(host) else { return };
        let from = member.standing;
        let to = self.chart.next(from, event);
        if from != to {
            member.standing = to;
            member.since = now;
            self.changes.push(Change { host: Arc::clone(host), from, to });
        }
    }
}

/// Hash of one record's version, for digests.
pub(super) fn hash(host: &str, version: Version) -> u64 {
    let seed = version.generation.rotate_left(32) ^ version.change;
    xxh3_64_with_seed(host.as_bytes(), seed)
}

fn needed(host: &str, ring: &[Arc<str>], accused: &IndexMap<Arc<str>, usize>) -> usize {
    let monitors = rings::predecessors(host, ring);
    let sound = monitors.iter().filter(|m| !accused.contains_key(*m)).count();
    sound.clamp(1, ACCUSERS_NEEDED)
}

fn unheard(record: &Record) -> Record {
    let condition = Condition::Unready;
    let wanted = Vec::new();
    Record {
        version: Version::default(),
        condition,
        token: String::new(),
        wanted,
        ..record.clone()
    }
}
