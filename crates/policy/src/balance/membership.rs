//! Membership of gateways: failure detection, directions for callers, and the choice of the
//! gateways that read the platform.
//!
//! Gateways of one failure domain send each other heartbeats, since traffic within a domain is
//! cheap. Traffic between domains is expensive, so only the primary gateway of a domain, the first
//! in its ranking, sends heartbeats to the primaries of the others, and less often. There is no
//! consensus: every gateway ranks the live ones by the same rule, and while two views differ, two
//! gateways may do the same work.

mod builds;
mod cold;
mod demand;
mod evacuations;
mod limits;
mod notices;
mod ranking;
mod reach;
mod reader;

use super::{
    heartbeat::{Directions, Heartbeat, HeartbeatExtension, Message, Outgoing, Phase, ReadState},
    limits::LimitNotice,
    quarantine::CallNotice,
    revision::Revision,
};
use crate::Timestamp;
use builds::BuildWatch;
pub use cold::ColdAssignment;
use cold::Unheard;
use demand::DomainDemand;
use indexmap::{IndexMap, IndexSet};
pub use limits::LimitAssignment;
use notices::NoticeOutbox;
use ranking::ReportedPrimaries;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Minimum heartbeat interval within a failure domain.
const MIN_LOCAL_INTERVAL: Duration = Duration::from_millis(400);
/// Heartbeat interval for each other live gateway in the domain, used once their sum exceeds the
/// minimum, so that the message rate of one gateway stays constant.
const LOCAL_INTERVAL_PER_PEER: Duration = Duration::from_millis(25);
/// Longest heartbeat interval of the first gateways of a domain: the reader of the platform and those that
/// callers are directed to. Others take over reading when they have not heard of it for some 1.7 s.
const LEADING_INTERVAL: Duration = Duration::from_millis(700);
/// Ranks to which that applies.
const LEADING_RANKS: usize = 4;
/// Heartbeat interval to other failure domains.
const REMOTE_INTERVAL: Duration = Duration::from_secs(2);
/// Heartbeats that may be missed in a row before a gateway is considered dead.
const MAX_MISSED: u32 = 3;
/// Time after its last heartbeat for which a dead gateway is still sent heartbeats, so that it is
/// rediscovered.
const DEAD_RETENTION: Duration = Duration::from_secs(60);
/// Uptime from which a gateway ranks equally with the others.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Intervals between join messages to the seeds; the last one repeats.
const JOIN_INTERVALS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(60),
];
/// Maximum interval between join messages while this gateway is cut off from all targets and knows no
/// gateway to relay calls to.
const DETACHED_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between join messages while no other gateway is alive.
const ALONE_INTERVAL: Duration = Duration::from_secs(2);
/// Failed reads of the platform in a row after which others read in the place of a gateway. A single one
/// may be a lost answer.
const MAX_FAILED_READS: u32 = 2;
/// Maximum number of gateways of the sender's domain in one message.
const MAX_PEERS_SENT: usize = 48;
/// Time after its start for which a gateway of a large domain often tells others which gateways it knows,
/// and the interval; afterwards it does so as often as it sends heartbeats.
const DISCOVERY_TIME: Duration = Duration::from_secs(30);
const PART_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of messages with gateways of the sender's domain in reply to a join message.
const MAX_PEER_MESSAGES: usize = 4;

/// Published data that a gateway knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownData {
    /// Platform revision, of which the caller says whether target heartbeats count.
    pub revision: Revision,
    /// Version of the settings, 0 if there are none.
    pub settings: u64,
}

/// Another gateway with its latest heartbeat.
#[derive(Clone, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    /// When its latest heartbeat arrived.
    heard: Timestamp,
    /// When its connection broke; only a later heartbeat revives it.
    disconnected: Option<Timestamp>,
    alive: bool,
    /// Incarnation of the process before the present one on its host.
    former: Option<u64>,
}

impl Peer {
    fn new(now: Timestamp, heartbeat: Heartbeat, former: Option<u64>) -> Self {
        Self { heartbeat, heard: now, disconnected: None, alive: true, former }
    }

    /// Returns whether its heartbeats have stopped without a sign that its process ended.
    fn is_silent(&self) -> bool {
        !self.alive && self.disconnected.is_none() && self.heartbeat.phase != Phase::Leaving
    }
}

/// Builder of a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipBuilder {
    own: Heartbeat,
    seeds: Vec<IpAddr>,
    per_domain: usize,
    lifetime: Duration,
}

impl MembershipBuilder {
    /// Starts from the initial state `own` of this gateway.
    pub fn new(own: Heartbeat) -> Self {
        Self { own, seeds: Vec::new(), per_domain: 1, lifetime: Duration::from_secs(1) }
    }

    /// Sets the hosts that are sent join messages to discover other gateways.
    pub fn seeds(mut self, seeds: Vec<IpAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the number of gateways of a failure domain to which callers are directed.
    pub fn gateways_per_domain(mut self, count: usize) -> Self {
        self.per_domain = count.max(1);
        self
    }

    /// Sets how long callers may use directions.
    pub fn lifetime(mut self, lifetime: Duration) -> Self {
        self.lifetime = lifetime;
        self
    }

    /// Builds the membership, which knows only this gateway.
    pub fn build(self, now: Timestamp) -> Membership {
        Membership {
            own: self.own,
            seeds: self.seeds,
            per_domain: self.per_domain,
            lifetime: self.lifetime,
            started: now,
            peers: IndexMap::new(),
            unverified: Vec::new(),
            next_local: now,
            next_remote: now,
            next_join: now,
            last_join: now,
            joins_sent: 0,
            next_part: now,
            parts_sent: 0,
            reach_changed: false,
            reads_fail: false,
            has_read: false,
            slots: 0,
            demand: DomainDemand::default(),
            reported_primaries: None,
            doubtful: IndexMap::new(),
            limit_outbox: NoticeOutbox::default(),
            call_outbox: NoticeOutbox::default(),
            builds: BuildWatch::default(),
            unheard: Unheard::default(),
            log_lines: Vec::new(),
        }
    }
}

/// View that one gateway has of all gateways.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Heartbeat,
    seeds: Vec<IpAddr>,
    per_domain: usize,
    lifetime: Duration,
    started: Timestamp,
    peers: IndexMap<Arc<str>, Peer>,
    /// Hosts that other gateways named and that have not sent a heartbeat yet.
    unverified: Vec<IpAddr>,
    /// When heartbeats to the local failure domain are due next.
    next_local: Timestamp,
    /// When heartbeats to the other failure domains are due next.
    next_remote: Timestamp,
    /// When join messages to the seeds are due next.
    next_join: Timestamp,
    /// When the latest join messages were sent.
    last_join: Timestamp,
    /// Rounds of join messages since the seeds were set.
    joins_sent: usize,
    /// When a gateway of a large domain is told some others next.
    next_part: Timestamp,
    /// Messages sent with a part of the domain's gateways.
    parts_sent: usize,
    /// Whether all gateways that know this one have to learn that its reach has changed.
    reach_changed: bool,
    /// Whether the latest reads of the platform have failed.
    reads_fail: bool,
    /// Whether this gateway has read the platform since its latest status.
    has_read: bool,
    /// Concurrent calls that the targets of the local failure domain can run.
    slots: u32,
    /// Processor time that the calls of the local failure domain need.
    demand: DomainDemand,
    /// Ready primaries of the other failure domains, as the primary of the local one has reported them last.
    reported_primaries: Option<ReportedPrimaries>,
    /// Gateways that did not deliver the update that they announced, and until when others are asked first.
    doubtful: IndexMap<Arc<str>, Timestamp>,
    limit_outbox: NoticeOutbox<LimitNotice>,
    call_outbox: NoticeOutbox<CallNotice>,
    builds: BuildWatch,
    unheard: Unheard,
    log_lines: Vec<String>,
}

impl Membership {
    /// Updates the state of this gateway.
    pub fn update_status(
        &mut self,
        phase: Phase,
        known: KnownData,
        age: Option<Duration>,
        reader: bool,
    ) {
        let KnownData { revision, settings } = known;
        self.reads_fail &= reader;
        let reads = ReadState { failing: self.reads_fail };
        // A gateway that reads since its data had grown old is no longer a reader once it has succeeded.
        let announces = std::mem::take(&mut self.has_read) || reader;
        // A change of phase is announced at once. A new revision is announced by platform readers
        // alone: announcements by the others would only repeat it to gateways that have it.
        if self.own.phase != phase
            || self.own.reads != reads
            || (announces && self.own.known_revision() != revision)
        {
            self.next_local = Timestamp::default();
        }
        if self.own.phase != phase && [self.own.phase, phase].contains(&Phase::Detached) {
            self.reach_changed = true;
            self.next_remote = Timestamp::default();
            // Of the other domains, only their primaries are known, and these to the primary alone.
            self.joins_sent = 0;
            self.next_join = Timestamp::default();
        }
        self.own.phase = phase;
        self.own.revision = revision.number;
        self.own.extension = HeartbeatExtension { era: revision.era, settings };
        self.own.age_ms = age.map(|a| u32::try_from(a.as_millis()).unwrap_or(u32::MAX));
        self.own.reader = reader;
        self.own.reads = reads;
    }

    /// Records that this gateway has read the platform. `failures` is the number of reads that have failed
    /// in a row, 0 after one that succeeded.
    pub fn record_reads(&mut self, failures: u32) {
        self.reads_fail = failures >= MAX_FAILED_READS;
        self.has_read |= failures == 0;
    }

    /// Sets the number of concurrent calls that the targets of the local failure domain can run.
    pub fn set_domain_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Replaces the seeds, and sends join messages to them if they changed.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        if self.seeds != seeds {
            self.seeds = seeds;
            self.joins_sent = 0;
            self.next_join = Timestamp::default();
        }
    }

    /// Returns the phase of this gateway.
    pub fn phase(&self) -> Phase {
        self.own.phase
    }

    /// Returns the number of live gateways, including this one.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|p| p.alive).count()
    }

    /// Estimates the number of gateways in all failure domains to which callers are directed.
    pub fn directed_count(&self) -> usize {
        let local = self.directed(&self.own.domain).len().max(1);
        (1 + self.remote_primaries().len()) * local
    }

    /// Returns the log lines on changes since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Handles a message from `from` and returns the replies.
    pub fn receive(&mut self, now: Timestamp, from: IpAddr, message: Message) -> Vec<Outgoing> {
        match message {
            Message::Heartbeat(heartbeat) => {
                let remote = heartbeat.domain != self.own.domain;
                self.record_heartbeat(now, heartbeat);
                match self.other_primary() {
                    // The sender takes this gateway for the primary of its failure domain.
                    Some(first) if remote => {
                        vec![Outgoing { to: from, message: Message::Peers(vec![first]) }]
                    }
                    _ => Vec::new(),
                }
            }
            Message::Join(heartbeat) => {
                let to = heartbeat.call_address.ip();
                let known = self.peers_for(&heartbeat);
                self.record_heartbeat(now, heartbeat);
                let own = Message::Heartbeat(self.next_heartbeat());
                let mut replies = self.limit_outbox.all_for(to);
                replies.extend(self.call_outbox.all_for(to));
                let messages = known.chunks(MAX_PEERS_SENT).map(|c| Message::Peers(c.to_vec()));
                replies.extend(messages.map(|message| Outgoing { to, message }));
                replies.push(Outgoing { to, message: own });
                replies
            }
            Message::Peers(hosts) => {
                self.record_named(now, &hosts);
                self.unverified.retain(|host| *host != from);
                for host in hosts {
                    self.add_unverified(host);
                }
                Vec::new()
            }
            // The balancer knows the limits and the calls.
            Message::Limits(_) | Message::Calls(_) => Vec::new(),
        }
    }

    /// Marks `host` dead until its next heartbeat, after an established connection to it broke.
    pub fn connection_lost(&mut self, now: Timestamp, host: &str) {
        let Some(peer) = self.peers.get_mut(host) else { return };
        peer.disconnected = Some(now);
        if peer.alive {
            peer.alive = false;
            self.log_lines.push(format!("peer {host} closed its connection; marked dead"));
        }
    }

    /// Handles timeouts and returns the messages that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let settled = now.since(self.started) >= SETTLE_TIME;
        // The change of rank is announced at once.
        if settled && !self.own.settled {
            self.next_local = Timestamp::default();
        }
        self.own.settled = settled;
        self.expire_silent(now);
        self.update_unheard(now);
        self.expire_report(now);
        self.update_demand(now);
        self.watch_builds(now);
        let mut outgoing = Vec::new();
        if self.own.phase == Phase::Detached && self.relay_peers().is_empty() {
            self.next_join = self.next_join.min(self.last_join + DETACHED_INTERVAL);
        }
        if now >= self.next_join {
            self.send_joins(now, &mut outgoing);
        }
        if !self.unverified.is_empty() {
            let unverified = std::mem::take(&mut self.unverified);
            match self.own.phase {
                // A join message is answered with a heartbeat.
                Phase::Detached => self.send_joins_to(unverified, &mut outgoing),
                _ => self.send_heartbeats(unverified.into_iter(), &mut outgoing),
            }
        }
        let interval = self.own_interval();
        self.next_local = self.next_local.min(now + interval);
        if now >= self.next_local {
            self.next_local = now + interval;
            self.own.load.interval_ms = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX);
            let hosts: Vec<IpAddr> =
                self.local_peers().map(|p| p.heartbeat.call_address.ip()).collect();
            if self.is_primary() {
                self.own.remote_primaries = self.observed_primaries();
            }
            self.send_heartbeats(hosts.into_iter(), &mut outgoing);
            self.own.remote_primaries = Vec::new();
        }
        if now >= self.next_part {
            let is_new = now.since(self.started) < DISCOVERY_TIME;
            self.next_part = now + if is_new { PART_INTERVAL } else { interval };
            self.send_some_peers(&mut outgoing);
        }
        if now >= self.next_remote {
            self.next_remote = now + REMOTE_INTERVAL;
            let hosts = match std::mem::take(&mut self.reach_changed) {
                true => self.remote_hosts(),
                false if self.is_primary() || self.own.phase == Phase::Detached => {
                    self.remote_contacts()
                }
                false => Vec::new(),
            };
            if !hosts.is_empty() {
                self.send_heartbeats(hosts.into_iter(), &mut outgoing);
            }
            // These answer, while they still take the former primary for alive.
            let inherited = self.inherited_primaries().map(|(_, address)| address.ip()).collect();
            self.send_joins_to(inherited, &mut outgoing);
        }
        self.send_notices(now, &mut outgoing);
        outgoing
    }

    /// Returns when [`Self::tick`] is due next.
    pub fn next_tick(&self) -> Timestamp {
        if !self.unverified.is_empty() {
            return Timestamp::default();
        }
        let heartbeats = self.next_local.min(self.next_remote);
        let notices = self.limit_outbox.next_due().min(self.call_outbox.next_due());
        heartbeats.min(self.next_join).min(notices)
    }

    /// Returns directions for callers of `domain`: its highest-ranked gateways, or those of other
    /// domains if it has none.
    pub fn directions(&self, domain: &str) -> Directions {
        let directed = self.directed(domain).into_iter();
        let mut addresses: Vec<SocketAddr> = directed.map(|h| h.call_address).collect();
        let remote = self.remote_primaries();
        if addresses.is_empty() {
            addresses.extend(remote.iter().filter(|(d, _)| **d == *domain).map(|(_, a)| *a));
        }
        if addresses.is_empty() {
            addresses.extend(self.ranked(&self.own.domain).first().map(|h| h.call_address));
            addresses.extend(remote.iter().map(|(_, address)| *address));
        }
        if addresses.is_empty() {
            // No gateway is known to reach the targets, which may also be down.
            let detached = self.detached(domain);
            let usable =
                if detached.is_empty() { self.detached(&self.own.domain) } else { detached };
            addresses.extend(usable.first().map(|h| h.call_address));
        }
        Directions { addresses, lifetime: self.lifetime }
    }

    /// Returns whether callers of the local failure domain are directed to this gateway.
    pub fn is_directed(&self) -> bool {
        self.directions(&self.own.domain).addresses.contains(&self.own.call_address)
    }

    fn local_interval(&self) -> Duration {
        let local = self.local_peers().filter(|p| p.alive).count();
        MIN_LOCAL_INTERVAL.max(LOCAL_INTERVAL_PER_PEER * u32::try_from(local).unwrap_or(u32::MAX))
    }

    /// Returns the interval at which this gateway sends heartbeats to its failure domain.
    fn own_interval(&self) -> Duration {
        let interval = self.local_interval();
        match self.rank_in_domain(|_| true) < LEADING_RANKS {
            true => interval.min(LEADING_INTERVAL),
            false => interval,
        }
    }

    fn local_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.heartbeat.domain == self.own.domain)
    }

    /// Returns the live gateways of other failure domains that this one knows.
    fn remote_hosts(&self) -> Vec<IpAddr> {
        let alive = self.peers.values().filter(|p| p.alive);
        let remote = alive.filter(|p| p.heartbeat.domain != self.own.domain);
        remote.map(|p| p.heartbeat.call_address.ip()).collect()
    }

    fn next_heartbeat(&mut self) -> Heartbeat {
        self.own.sequence += 1;
        self.own.clone()
    }

    fn send_heartbeats(
        &mut self,
        hosts: impl Iterator<Item = IpAddr>,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let heartbeat = self.next_heartbeat();
        outgoing.extend(
            hosts.map(|to| Outgoing { to, message: Message::Heartbeat(heartbeat.clone()) }),
        );
    }

    fn send_joins(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let step = self.joins_sent.min(JOIN_INTERVALS.len() - 1);
        let alone = self.peers.values().all(|p| !p.alive);
        let interval = JOIN_INTERVALS[step];
        self.next_join = now + if alone { interval.min(ALONE_INTERVAL) } else { interval };
        self.last_join = now;
        self.joins_sent += 1;
        let own = self.own.call_address.ip();
        let mut hosts: IndexSet<IpAddr> = self.seeds.iter().copied().collect();
        if self.own.phase == Phase::Detached {
            hosts.extend(self.remote_contacts());
        }
        self.send_joins_to(hosts.into_iter().filter(|host| *host != own).collect(), outgoing);
    }

    fn send_joins_to(&mut self, hosts: Vec<IpAddr>, outgoing: &mut Vec<Outgoing>) {
        if hosts.is_empty() {
            return;
        }
        let heartbeat = self.next_heartbeat();
        let join = |to| Outgoing { to, message: Message::Join(heartbeat.clone()) };
        outgoing.extend(hosts.into_iter().map(join));
    }

    fn peers_for(&self, heartbeat: &Heartbeat) -> Vec<IpAddr> {
        let local =
            self.peers.values().filter(|p| p.alive && p.heartbeat.domain == heartbeat.domain);
        let others = local
            .filter(|p| p.heartbeat.host != heartbeat.host)
            .map(|p| p.heartbeat.call_address.ip());
        let primaries = self.remote_contacts();
        let mut all: Vec<IpAddr> = others.take(MAX_PEERS_SENT * MAX_PEER_MESSAGES).collect();
        all.extend(primaries.into_iter().filter(|ip| *ip != heartbeat.call_address.ip()));
        all.dedup();
        all
    }

    /// Tells one gateway of a large domain a part of those that this one knows, each time another one and
    /// another part. Join messages are answered with a limited number, and while many gateways start at
    /// once, those that answer do not know all either.
    fn send_some_peers(&mut self, outgoing: &mut Vec<Outgoing>) {
        let alive = self.local_peers().filter(|p| p.alive);
        let hosts: Vec<IpAddr> = alive.map(|p| p.heartbeat.call_address.ip()).collect();
        if hosts.len() < MAX_PEERS_SENT {
            return;
        }
        self.parts_sent += 1;
        let to = hosts[self.parts_sent % hosts.len()];
        let first = self.parts_sent * MAX_PEERS_SENT;
        let part = (first..first + MAX_PEERS_SENT).map(|index| hosts[index % hosts.len()]);
        let message = Message::Peers(part.filter(|host| *host != to).collect());
        outgoing.push(Outgoing { to, message });
    }

    fn add_unverified(&mut self, host: IpAddr) {
        let known = self.peers.values().any(|p| p.alive && p.heartbeat.call_address.ip() == host);
        if host != self.own.call_address.ip() && !known && !self.unverified.contains(&host) {
            self.unverified.push(host);
        }
    }

    fn record_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        if heartbeat.host == self.own.host {
            return;
        }
        let host = Arc::clone(&heartbeat.host);
        self.unverified.retain(|ip| *ip != heartbeat.call_address.ip());
        let local = heartbeat.domain == self.own.domain;
        if local && !heartbeat.remote_primaries.is_empty() {
            self.reported_primaries = Some(ReportedPrimaries::new(now, &heartbeat));
        }
        let Some(peer) = self.peers.get_mut(&host) else {
            if local {
                self.log_lines.push(format!("peer {host} domain={} discovered", heartbeat.domain));
            }
            if local {
                // It may not know this gateway; the others do.
                self.unverified.push(heartbeat.call_address.ip());
            }
            self.peers.insert(host, Peer::new(now, heartbeat, None));
            return;
        };
        let same = peer.heartbeat.incarnation == heartbeat.incarnation;
        // On a host without a proper clock, a new process may have the incarnation of the dead one.
        if same && peer.alive && heartbeat.sequence <= peer.heartbeat.sequence {
            return;
        }
        // A late datagram of the process that the present one has replaced.
        if peer.alive && peer.former == Some(heartbeat.incarnation) {
            return;
        }
        // A datagram that was in flight when the process ended does not revive it.
        if same && peer.disconnected.is_some_and(|at| now.since(at) < MIN_LOCAL_INTERVAL / 2) {
            return;
        }
        if heartbeat.phase != peer.heartbeat.phase {
            match heartbeat.phase {
                Phase::Leaving => self.log_lines.push(format!("peer {host} is leaving")),
                Phase::Detached => {
                    self.log_lines.push(format!("peer {host} is cut off from all targets"));
                }
                Phase::Starting | Phase::Ready => {}
            }
        }
        if !peer.alive || !same {
            self.log_lines.push(format!("peer {host} is back, same process={same}"));
        }
        let former = if same { peer.former } else { Some(peer.heartbeat.incarnation) };
        *peer = Peer::new(now, heartbeat, former);
    }

    /// Forgets the reported primaries once the others must have found this gateway if it is the primary now.
    fn expire_report(&mut self, now: Timestamp) {
        let limit = REMOTE_INTERVAL * MAX_MISSED;
        self.reported_primaries.take_if(|reported| now.since(reported.at) > limit);
    }

    fn expire_silent(&mut self, now: Timestamp) {
        let own = self.local_interval();
        let local = own * MAX_MISSED;
        let domain = Arc::clone(&self.own.domain);
        let primaries: Vec<SocketAddr> = match self.is_primary() {
            true => self.observed_primaries().into_iter().map(|(_, address)| address).collect(),
            false => Vec::new(),
        };
        for (host, peer) in &mut self.peers {
            let limit = match peer.heartbeat.load.interval_ms {
                _ if peer.heartbeat.domain != domain => REMOTE_INTERVAL * MAX_MISSED,
                0 => local,
                ms => Duration::from_millis(ms.into()).clamp(MIN_LOCAL_INTERVAL, own) * MAX_MISSED,
            };
            if peer.alive && now.since(peer.heard) > limit {
                peer.alive = false;
                // Of other failure domains only the primary keeps sending heartbeats.
                if peer.heartbeat.domain == domain
                    || primaries.contains(&peer.heartbeat.call_address)
                {
                    let silence = now.since(peer.heard);
                    self.log_lines
                        .push(format!("peer {host} was silent for {silence:?}; marked dead"));
                }
            }
        }
        self.peers.retain(|_, p| p.alive || now.since(p.heard) < DEAD_RETENTION);
    }
}
