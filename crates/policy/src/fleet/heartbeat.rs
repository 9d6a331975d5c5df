//! What an entry does from time to time.

use super::{
    lifecycle::{Lifecycle, LifecycleEvent},
    member::Standing,
    message::{Accusation, Body},
    monitor::MISSES_ALLOWED,
    node::{Action, Fleet},
    rings,
    roll_call::SAMPLE,
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use std::{sync::Arc, time::Duration};

/// Time between the pings of one peer.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// An entry that heard neither platform nor peers for so long is stale.
pub const STALE_AFTER: Duration = Duration::from_secs(3);

/// Heartbeats between two pings of a peer that shares a set but no ring.
const SET_BEATS: u64 = 4;
/// Heartbeats between two tries to find a lost entry again.
const LOST_BEATS: u64 = 2;
/// Lost entries that are tried at once after one of them answered.
const HEALED_AT_ONCE: usize = 16;
const TELL_PAUSE: Duration = Duration::from_secs(1);

/// When what is due.
#[derive(Clone, Debug)]
pub(super) struct Beat {
    next: Timestamp,
    count: u64,
    healing: bool,
    refuted: Option<Timestamp>,
    told: Option<Timestamp>,
    summarized: Option<Timestamp>,
    pub(super) mismatches: IndexMap<Arc<str>, u32>,
}

impl Beat {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            next: now,
            count: 0,
            healing: false,
            refuted: None,
            told: None,
            summarized: None,
            mismatches: IndexMap::new(),
        }
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        self.next = now;
    }

    pub(super) fn heal(&mut self) {
        self.healing = true;
    }

    pub(super) fn may_refute(&mut self, now: Timestamp, pause: Duration) -> bool {
        is_due(&mut self.refuted, now, pause)
    }

    pub(super) fn may_tell(&mut self, now: Timestamp) -> bool {
        is_due(&mut self.told, now, TELL_PAUSE)
    }

    pub(super) fn may_summarize(&mut self, now: Timestamp, pause: Duration) -> bool {
        is_due(&mut self.summarized, now, pause)
    }
}

fn is_due(last: &mut Option<Timestamp>, now: Timestamp, pause: Duration) -> bool {
    if last.is_some_and(|at| now.since(at) < pause) {
        return false;
    }
    *last = Some(now);
    true
}

impl Fleet {
    /// To be called every few tens of ms.
    pub fn tick(&mut self, now: Timestamp) {
        if now >= self.beat.next {
            let jitter = HEARTBEAT.mul_f64(self.random.random_range(0.9..1.1));
            self.beat.next = now + jitter;
            self.beat.count += 1;
            self.heartbeat(now);
        }
        self.call_roll(now);
        self.members.tick(now, self.roll_call.passed());
        self.settle();
        self.want(now);
        self.tell_slots(now);
        self.live(now);
    }

    fn heartbeat(&mut self, now: Timestamp) {
        let successors = rings::successors(&self.own.host, &self.members.ring());
        for host in &successors {
            self.ping(now, host, true);
        }
        let mut others: IndexSet<Arc<str>> = self.sets.shared.keys().cloned().collect();
        others.retain(|host| !successors.contains(host));
        if self.beat.count.is_multiple_of(SET_BEATS) {
            for host in &others {
                self.ping(now, host, false);
            }
        }
        self.find_lost(now);
        if !self.members.iter().any(|(_, m)| m.is_heard()) {
            self.ask_seeds();
        }
        let (members, roll_call) = (&self.members, &self.roll_call);
        self.monitor.retain(|host| {
            roll_call.is_asking(host)
                || successors.iter().any(|s| **s == *host)
                || others.contains(host)
                || members.get(host).is_some_and(|m| m.standing == Standing::Gone)
        });
    }

    fn ping(&mut self, now: Timestamp, host: &Arc<str>, monitored: bool) {
        let ping = self.monitor.ping(host, self.own.version.change);
        let Some(member) = self.members.get(host) else { return };
        let (version, address) = (member.record.version, member.addresses().peers);
        if ping.missed >= MISSES_ALLOWED {
            let since = ping.missed - MISSES_ALLOWED;
            if since.is_multiple_of(MISSES_ALLOWED) {
                self.out.push(Action::Redial(address));
            }
            if monitored && since.is_multiple_of(2) {
                let (host, accuser) = (Arc::clone(host), Arc::clone(&self.own.host));
                let accusation = Accusation { host, version, accuser };
                self.members.accuse(now, &accusation);
                let news = self.news_with(Vec::new(), vec![accusation], Vec::new());
                self.flood(None, news);
            }
        }
        let records = if ping.tell { vec![self.own.clone()] } else { Vec::new() };
        let accusations = self.accusation(host).into_iter().collect();
        let news = self.news_with(records, accusations, Vec::new());
        self.send(host, &Body::Ping { probe: ping.number, missed: ping.missed, news });
    }

    /// Finds out how much of the fleet is reached before a suspect entry is given up.
    fn call_roll(&mut self, now: Timestamp) {
        if let Some(silent) = self.roll_call.finish(now) {
            for host in silent {
                if let Some(member) = self.members.get_mut(&host) {
                    member.silent = true;
                    self.changed = true;
                }
            }
        }
        let Some(since) = self.members.last_suspicion() else {
            self.changed |= self.members.clear_silence();
            return;
        };
        if !self.roll_call.is_due(now, since) {
            return;
        }
        let mut roll = self.members.roll(now);
        while roll.len() > SAMPLE {
            roll.swap_remove(self.random.random_range(0..roll.len()));
        }
        self.roll_call.start(now, &roll);
        for host in &roll {
            self.ping(now, host, false);
        }
    }

    /// Tries some of the entries that are gone: they may be behind a partition that has healed.
    fn find_lost(&mut self, now: Timestamp) {
        let gone = self.members.iter().filter(|(_, m)| m.standing == Standing::Gone);
        let mut lost: Vec<_> = gone.map(|(host, _)| Arc::clone(host)).collect();
        let healing = std::mem::take(&mut self.beat.healing);
        if lost.is_empty() || !(healing || self.beat.count.is_multiple_of(LOST_BEATS)) {
            return;
        }
        let tries = if healing { HEALED_AT_ONCE } else { 1 };
        for _ in 0..tries.min(lost.len()) {
            let host = lost.swap_remove(self.random.random_range(0..lost.len()));
            self.ping(now, &host, false);
        }
    }

    fn ask_seeds(&mut self) {
        let unknown = Arc::from("");
        for address in self.seeds.clone() {
            if address == self.own.addresses.peers {
                continue;
            }
            let news = self.news_with(vec![self.own.clone()], Vec::new(), Vec::new());
            self.send_to(address, &unknown, &Body::Ping { probe: 0, missed: 0, news });
        }
    }

    fn tell_slots(&mut self, now: Timestamp) {
        self.told.extend(self.slots.expire(now));
        let shared = &self.sets.shared;
        let members = &self.members;
        let alive = shared
            .iter()
            .filter(|(host, _)| members.get(host).is_some_and(|m| m.standing == Standing::Alive));
        let due = self.slots.tell(now, alive.map(|(host, services)| (host, &services[..])));
        for (host, body) in due {
            self.send(&host, &body);
        }
    }

    fn live(&mut self, now: Timestamp) {
        let recent = |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < STALE_AFTER);
        let contact = recent(self.values.heard_peer) || recent(self.values.heard_platform);
        let current = contact && !self.superseded && self.is_current(now);
        match self.state {
            Lifecycle::Starting if current => self.step(LifecycleEvent::Ready),
            Lifecycle::Serving if !contact => self.step(LifecycleEvent::CutOff),
            Lifecycle::Stale if current => self.step(LifecycleEvent::Contact),
            _ => {}
        }
    }
}
