//! Which gateways live, which of them callers are directed to, and who reads the platform.
//!
//! Gateways of one failure domain send each other heartbeats, which cost nothing there. Between
//! failure domains bytes are dear, so only the first gateway of a domain tells the first ones of
//! the others, and rarely. Nothing is agreed upon: every gateway ranks the living ones by the same
//! rule, and where two pictures differ for a moment, two gateways do the same work.

use super::beat::{Beat, Directions, Message, Outgoing, Phase};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{
    hash::Hasher,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use xxhash_rust::xxh3::Xxh3Default;

/// Time between two heartbeats within a failure domain of few gateways.
const NEAR_BEAT: Duration = Duration::from_millis(400);
/// Time that each further gateway adds to it, so that the cost of one does not grow.
const NEAR_BEAT_EACH: Duration = Duration::from_millis(25);
/// Time between two heartbeats to other failure domains.
const FAR_BEAT: Duration = Duration::from_secs(2);
/// Heartbeats that may be missing in a row before a gateway is taken for dead.
const MISSED: u32 = 3;
/// Time for which a dead gateway is still sent heartbeats, so that it is found again.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Time after its start from which a gateway is as good as the others.
const SETTLED: Duration = Duration::from_secs(3);
/// Pauses between greetings to the seeds; the last one repeats.
const GREETINGS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(60),
];
/// Pause while no other gateway is known.
const LONELY_GREETING: Duration = Duration::from_secs(2);
/// Age of the belief at which the next reader in order takes over, and how much later each
/// further one does.
const TAKEOVER: (Duration, Duration) = (Duration::from_millis(1_450), Duration::from_millis(250));
/// Ranks by which gateways without any news wait longer than one another.
const FIRST_RANKS: u32 = 4;
/// Power that the gateways which callers of one failure domain are directed to have together, where
/// there are enough of them: 150 thousandths of a core, or 30 Mbit/s.
const ENOUGH_POWER: u32 = 150;
/// Calls that run at a time for which one gateway is enough.
const SLOTS_EACH: u32 = 300;
/// Time for which news from another failure domain is left to the own reader of the platform: from
/// the latest news on, or from the start of a gateway that has had none.
const FAR_PATIENCE: Duration = Duration::from_millis(1_200);
/// Gateways told in one answer to a greeting.
const TOLD: usize = 48;

#[derive(Clone, Debug)]
struct Peer {
    beat: Beat,
    heard: Timestamp,
    /// Set when its connection broke; only a later heartbeat brings it back.
    lost: Option<Timestamp>,
    alive: bool,
}

/// Construction of a [`Roster`].
#[derive(Clone, Debug)]
pub struct RosterBuilder {
    own: Beat,
    seeds: Vec<IpAddr>,
    directed: usize,
    lifetime: Duration,
}

impl RosterBuilder {
    /// Builds the roster of the gateway that says `own` of itself.
    pub fn new(own: Beat) -> Self {
        Self { own, seeds: Vec::new(), directed: 1, lifetime: Duration::from_secs(1) }
    }

    /// Hosts that are asked at the start who there is.
    pub fn seeds(mut self, seeds: Vec<IpAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Number of gateways of a failure domain to which callers are directed.
    pub fn directed(mut self, directed: usize) -> Self {
        self.directed = directed.max(1);
        self
    }

    /// How long directions may be used.
    pub fn lifetime(mut self, lifetime: Duration) -> Self {
        self.lifetime = lifetime;
        self
    }

    /// The roster, which knows only itself.
    pub fn build(self, now: Timestamp) -> Roster {
        Roster {
            own: self.own,
            seeds: self.seeds,
            directed: self.directed,
            lifetime: self.lifetime,
            started: now,
            peers: IndexMap::new(),
            introduced: Vec::new(),
            next_near: now,
            next_far: now,
            next_greeting: now,
            greetings: 0,
            slots: 0,
            journal: Vec::new(),
        }
    }
}

/// What one gateway knows of the others.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Beat,
    seeds: Vec<IpAddr>,
    directed: usize,
    lifetime: Duration,
    started: Timestamp,
    peers: IndexMap<Arc<str>, Peer>,
    /// Hosts that were named by others and have not been heard.
    introduced: Vec<IpAddr>,
    next_near: Timestamp,
    next_far: Timestamp,
    next_greeting: Timestamp,
    greetings: usize,
    /// Calls that the targets of the own failure domain run at a time.
    slots: u32,
    journal: Vec<String>,
}

impl Roster {
    /// Tells what has changed about this gateway.
    pub fn set_own(&mut self, phase: Phase, revision: u64, age: Option<Duration>, reader: bool) {
        // A change of phase is told at once, and news by those who read it: the others would only
        // repeat to all what all have heard.
        if self.own.phase != phase || (reader && self.own.revision != revision) {
            self.next_near = Timestamp::default();
        }
        self.own.phase = phase;
        self.own.revision = revision;
        self.own.age_ms = age.map(|a| u32::try_from(a.as_millis()).unwrap_or(u32::MAX));
        self.own.reader = reader;
    }

    /// Tells how many calls the targets of the own failure domain run at a time.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        if self.seeds != seeds {
            self.seeds = seeds;
            self.greetings = 0;
            self.next_greeting = Timestamp::default();
        }
    }

    /// Phase of this gateway.
    pub fn phase(&self) -> Phase {
        self.own.phase
    }

    /// Number of living gateways, this one included.
    pub fn living(&self) -> usize {
        1 + self.peers.values().filter(|p| p.alive).count()
    }

    /// Number of gateways to which callers are directed, this gateway's failure domain included.
    pub fn deciders(&self) -> usize {
        let near = self.needed(&self.ranked(&self.own.domain)).max(1);
        (1 + self.elsewhere().len()) * near
    }

    /// Lines for the log on what changed since the last call.
    pub fn take_journal(&mut self) -> Vec<String> {
        std::mem::take(&mut self.journal)
    }

    /// A message came from `from`.
    pub fn receive(&mut self, now: Timestamp, from: IpAddr, message: Message) -> Vec<Outgoing> {
        match message {
            Message::Beat(beat) => {
                let far = beat.domain != self.own.domain;
                self.hear(now, beat);
                match self.first_near() {
                    // The sender takes this gateway for the first one of its failure domain.
                    Some(first) if far => {
                        vec![Outgoing { to: from, message: Message::Known(vec![first]) }]
                    }
                    _ => Vec::new(),
                }
            }
            Message::Greeting(beat) => {
                let to = beat.calls.ip();
                let known = self.known_to(&beat);
                self.hear(now, beat);
                let own = Message::Beat(self.next_beat());
                vec![Outgoing { to, message: Message::Known(known) }, Outgoing { to, message: own }]
            }
            Message::Known(hosts) => {
                self.introduced.retain(|host| *host != from);
                for host in hosts {
                    self.introduce(host);
                }
                Vec::new()
            }
        }
    }

    /// A connection to `host` broke although it had been heard: it is dead until it is heard again.
    pub fn lost(&mut self, now: Timestamp, host: &str) {
        let Some(peer) = self.peers.get_mut(host) else { return };
        peer.lost = Some(now);
        if peer.alive {
            peer.alive = false;
            self.journal.push(format!("peer {host} closed its connection; dead"));
        }
    }

    /// Messages that are due, and changes that time brings.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        self.own.settled = now.since(self.started) >= SETTLED;
        self.bury(now);
        let mut outgoing = Vec::new();
        if now >= self.next_greeting {
            self.greet(now, &mut outgoing);
        }
        if !self.introduced.is_empty() {
            let introduced = std::mem::take(&mut self.introduced);
            self.send(introduced.into_iter(), &mut outgoing);
        }
        if now >= self.next_near {
            self.next_near = now + self.near_interval();
            let hosts: Vec<IpAddr> = self.near().map(|p| p.beat.calls.ip()).collect();
            if self.is_first() {
                self.own.elsewhere = self.heard_elsewhere();
            }
            self.send(hosts.into_iter(), &mut outgoing);
            self.own.elsewhere = Vec::new();
        }
        if now >= self.next_far {
            self.next_far = now + FAR_BEAT;
            if self.is_first() {
                self.send(self.first_of_others().into_iter(), &mut outgoing);
            }
        }
        outgoing
    }

    /// When [`Self::tick`] is due next.
    pub fn next_tick(&self) -> Timestamp {
        if !self.introduced.is_empty() {
            return Timestamp::default();
        }
        self.next_near.min(self.next_far).min(self.next_greeting)
    }

    /// Where callers of `domain` go: to its first gateways, or to those of others if it has none.
    pub fn directions(&self, domain: &str) -> Directions {
        let ranked = self.ranked(domain);
        let count = self.needed(&ranked);
        let mut addresses: Vec<SocketAddr> =
            ranked.into_iter().take(count).map(|b| b.calls).collect();
        let elsewhere = self.elsewhere();
        if addresses.is_empty() {
            addresses.extend(elsewhere.iter().filter(|(d, _)| **d == *domain).map(|(_, a)| *a));
        }
        if addresses.is_empty() {
            addresses.extend(self.ranked(&self.own.domain).first().map(|b| b.calls));
            addresses.extend(elsewhere.iter().map(|(_, address)| *address));
        }
        Directions { addresses, lifetime: self.lifetime }
    }

    /// Whether callers are directed to this gateway.
    pub fn is_directed(&self) -> bool {
        self.directions(&self.own.domain).addresses.contains(&self.own.calls)
    }

    /// Whether this gateway has to read the platform: nobody before it has fresh news. A gateway that
    /// has had no news waits from its start on; `own_age` is the age of its latest news.
    pub fn is_reader(&self, now: Timestamp, own_age: Option<Duration>) -> bool {
        let rank = u32::try_from(self.rank_in_domain()).unwrap_or(u32::MAX);
        let age = own_age.unwrap_or_else(|| now.since(self.started));
        // Without any news nothing can be served, so the last in order do not wait for long.
        let rank_counted = if own_age.is_none() { rank.min(FIRST_RANKS) } else { rank };
        rank == 0 || age > TAKEOVER.0 + TAKEOVER.1 * rank_counted
    }

    /// The peer with later news than `revision`, which is `age` old: the one with the latest news
    /// first, near before far. Far ones are asked only when no near one has had news for a while.
    pub fn better_informed(
        &self,
        now: Timestamp,
        revision: u64,
        age: Option<Duration>,
    ) -> Option<(Arc<str>, IpAddr)> {
        let far = age.unwrap_or_else(|| now.since(self.started)) >= FAR_PATIENCE;
        let near = |p: &Peer| p.beat.domain == self.own.domain;
        let ahead = self
            .peers
            .values()
            .filter(|p| p.alive && p.beat.revision > revision && (far || near(p)));
        let best = ahead.max_by_key(|p| (near(p), p.beat.revision));
        best.map(|p| (Arc::clone(&p.beat.host), p.beat.calls.ip()))
    }

    /// Age of the freshest news of a peer that knows of no change after `revision`.
    pub fn confirmed_age(&self, now: Timestamp, revision: u64) -> Option<Duration> {
        let same = self.peers.values().filter(|p| p.alive && p.beat.revision <= revision);
        let age = |p: &Peer| {
            let told = Duration::from_millis(u64::from(p.beat.age_ms?));
            Some(told + now.since(p.heard))
        };
        same.filter_map(age).min()
    }

    /// The first other gateway of the failure domain, whose end is to be noticed at once.
    pub fn watched(&self) -> Option<(Arc<str>, IpAddr)> {
        let ranked = self.ranked(&self.own.domain);
        let first = ranked.first().filter(|b| b.host != self.own.host)?;
        Some((Arc::clone(&first.host), first.calls.ip()))
    }

    /// How many of `ranked` callers are directed to: as many as are set, and more where these are
    /// weak.
    fn needed(&self, ranked: &[&Beat]) -> usize {
        let least = self.directed.max((self.slots / SLOTS_EACH) as usize);
        let mut power = 0;
        let enough = ranked.iter().position(|b| {
            power += b.power;
            power >= ENOUGH_POWER
        });
        enough.map_or(ranked.len(), |last| (last + 1).max(least)).min(ranked.len())
    }

    fn near_interval(&self) -> Duration {
        let near = self.near().filter(|p| p.alive).count();
        NEAR_BEAT.max(NEAR_BEAT_EACH * u32::try_from(near).unwrap_or(u32::MAX))
    }

    fn near(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.beat.domain == self.own.domain)
    }

    fn next_beat(&mut self) -> Beat {
        self.own.sequence += 1;
        self.own.clone()
    }

    fn send(&mut self, hosts: impl Iterator<Item = IpAddr>, outgoing: &mut Vec<Outgoing>) {
        let beat = self.next_beat();
        outgoing.extend(hosts.map(|to| Outgoing { to, message: Message::Beat(beat.clone()) }));
    }

    fn greet(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let step = self.greetings.min(GREETINGS.len() - 1);
        let alone = self.peers.values().all(|p| !p.alive);
        let pause = GREETINGS[step];
        self.next_greeting = now + if alone { pause.min(LONELY_GREETING) } else { pause };
        self.greetings += 1;
        let own = self.own.calls.ip();
        let seeds: Vec<IpAddr> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        let beat = self.next_beat();
        for to in seeds {
            outgoing.push(Outgoing { to, message: Message::Greeting(beat.clone()) });
        }
    }

    fn known_to(&self, beat: &Beat) -> Vec<IpAddr> {
        let near = self.peers.values().filter(|p| p.alive && p.beat.domain == beat.domain);
        let others = near.filter(|p| p.beat.host != beat.host).map(|p| p.beat.calls.ip());
        let firsts = self.first_of_others();
        let mut all: Vec<IpAddr> = others.take(TOLD).collect();
        all.extend(firsts.into_iter().filter(|ip| *ip != beat.calls.ip()));
        all.dedup();
        all
    }

    fn introduce(&mut self, host: IpAddr) {
        let known = self.peers.values().any(|p| p.alive && p.beat.calls.ip() == host);
        if host != self.own.calls.ip() && !known && !self.introduced.contains(&host) {
            self.introduced.push(host);
        }
    }

    fn hear(&mut self, now: Timestamp, beat: Beat) {
        if beat.host == self.own.host {
            return;
        }
        let host = Arc::clone(&beat.host);
        self.introduced.retain(|ip| *ip != beat.calls.ip());
        let near = beat.domain == self.own.domain;
        let Some(peer) = self.peers.get_mut(&host) else {
            if near {
                self.journal.push(format!("peer {host} domain={} found", beat.domain));
            }
            self.peers.insert(host, Peer { beat, heard: now, lost: None, alive: true });
            if near {
                self.next_near = Timestamp::default();
            }
            return;
        };
        let same = peer.beat.process == beat.process;
        if same && beat.sequence <= peer.beat.sequence {
            return;
        }
        // A datagram that was under way when the process ended does not bring it back.
        if same && peer.lost.is_some_and(|at| now.since(at) < NEAR_BEAT / 2) {
            return;
        }
        if beat.phase == Phase::Leaving && peer.beat.phase != Phase::Leaving {
            self.journal.push(format!("peer {host} is leaving"));
        }
        if !peer.alive || !same {
            self.journal.push(format!("peer {host} is back, same process={same}"));
        }
        *peer = Peer { beat, heard: now, lost: None, alive: true };
    }

    fn bury(&mut self, now: Timestamp) {
        let near = self.near_interval() * MISSED;
        let domain = Arc::clone(&self.own.domain);
        let firsts: Vec<SocketAddr> = match self.is_first() {
            true => self.heard_elsewhere().into_iter().map(|(_, calls)| calls).collect(),
            false => Vec::new(),
        };
        for (host, peer) in &mut self.peers {
            let limit = if peer.beat.domain == domain { near } else { FAR_BEAT * MISSED };
            if peer.alive && now.since(peer.heard) > limit {
                peer.alive = false;
                // Only the first gateway of another failure domain goes on being heard.
                if peer.beat.domain == domain || firsts.contains(&peer.beat.calls) {
                    let silence = now.since(peer.heard);
                    self.journal.push(format!("peer {host} was silent for {silence:?}; dead"));
                }
            }
        }
        self.peers.retain(|_, p| p.alive || now.since(p.heard) < REMEMBERED);
    }

    /// Gateways of `domain` that callers may use, the first choice first.
    fn ranked(&self, domain: &str) -> Vec<&Beat> {
        let peers = self.peers.values().filter(|p| p.alive).map(|p| &p.beat);
        let all = peers.chain(std::iter::once(&self.own));
        let mut usable: Vec<&Beat> =
            all.filter(|b| b.phase == Phase::Ready && &*b.domain == domain).collect();
        usable.sort_by_key(|b| order(b));
        usable
    }

    /// First ready gateways of the other failure domains: as heard by the first gateway of the own
    /// one.
    fn elsewhere(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let near = self.near().filter(|p| p.alive && p.beat.phase != Phase::Leaving);
        match near.min_by_key(|p| order(&p.beat)) {
            Some(first) if !self.is_first() => first.beat.elsewhere.clone(),
            _ => self.heard_elsewhere(),
        }
    }

    fn heard_elsewhere(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let far = self.peers.values().map(|p| &p.beat.domain).filter(|d| **d != self.own.domain);
        let mut domains: Vec<&Arc<str>> = far.collect();
        domains.sort();
        domains.dedup();
        let first = |d: &Arc<str>| Some((Arc::clone(d), self.ranked(d).first()?.calls));
        domains.into_iter().filter_map(first).collect()
    }

    /// The first living gateway of each other failure domain, ready or not, and one dead one of
    /// each domain that has none.
    fn first_of_others(&self) -> Vec<IpAddr> {
        let mut firsts: IndexMap<&Arc<str>, (bool, Order, IpAddr)> = IndexMap::new();
        for peer in self.peers.values().filter(|p| p.beat.domain != self.own.domain) {
            let usable = peer.alive && peer.beat.phase != Phase::Leaving;
            let candidate = (!usable, order(&peer.beat), peer.beat.calls.ip());
            let best = firsts.entry(&peer.beat.domain).or_insert(candidate);
            if candidate < *best {
                *best = candidate;
            }
        }
        firsts.into_values().map(|(_, _, ip)| ip).collect()
    }

    /// The first gateway of the own failure domain, nothing when it is this one.
    fn first_near(&self) -> Option<IpAddr> {
        let near = self.near().filter(|p| p.alive && p.beat.phase != Phase::Leaving);
        let first = near.min_by_key(|p| order(&p.beat))?;
        (!self.is_first()).then(|| first.beat.calls.ip())
    }

    fn is_first(&self) -> bool {
        self.rank_in_domain() == 0
    }

    /// Number of living gateways of the own domain that come before this one, ready or not.
    fn rank_in_domain(&self) -> usize {
        let own = order(&self.own);
        let before = |p: &&Peer| p.alive && p.beat.phase != Phase::Leaving && order(&p.beat) < own;
        let leaving = self.own.phase == Phase::Leaving;
        if leaving {
            self.near().filter(|p| p.alive).count()
        } else {
            self.near().filter(before).count()
        }
    }
}

/// Whether a gateway started a moment ago, its lack of power, and a hash of its name.
type Order = (bool, u32, u64);

/// Order of gateways: settled ones first, then the strong ones, then by a hash of the name.
fn order(beat: &Beat) -> Order {
    let mut hash = Xxh3Default::new();
    hash.write(beat.host.as_bytes());
    (!beat.settled, u32::MAX - beat.power, hash.finish())
}
