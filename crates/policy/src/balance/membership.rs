//! Which gateways live, which of them callers are directed to, and who reads the platform.
//!
//! Gateways of one failure domain send each other heartbeats, which cost nothing there. Between
//! failure domains bytes are dear, so only the first gateway of a domain tells the first ones of
//! the others, and rarely. Nothing is agreed upon: every gateway ranks the living ones by the same
//! rule, and where two pictures differ for a moment, two gateways do the same work.

mod ranking;
mod reading;

use super::heartbeat::{Directions, Heartbeat, Message, Outgoing, Phase};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

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
/// Gateways told in one answer to a greeting.
const TOLD: usize = 48;

#[derive(Clone, Debug)]
struct Peer {
    beat: Heartbeat,
    heard: Timestamp,
    /// Set when its connection broke; only a later heartbeat brings it back.
    lost: Option<Timestamp>,
    alive: bool,
}

/// Construction of a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipBuilder {
    own: Heartbeat,
    seeds: Vec<IpAddr>,
    per_domain: usize,
    lifetime: Duration,
}

impl MembershipBuilder {
    /// Builds the roster of the gateway that says `own` of itself.
    pub fn new(own: Heartbeat) -> Self {
        Self { own, seeds: Vec::new(), per_domain: 1, lifetime: Duration::from_secs(1) }
    }

    /// Hosts that are asked at the start who there is.
    pub fn seeds(mut self, seeds: Vec<IpAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Number of gateways of a failure domain to which callers are directed.
    pub fn gateways_per_domain(mut self, count: usize) -> Self {
        self.per_domain = count.max(1);
        self
    }

    /// How long directions may be used.
    pub fn lifetime(mut self, lifetime: Duration) -> Self {
        self.lifetime = lifetime;
        self
    }

    /// The roster, which knows only itself.
    pub fn build(self, now: Timestamp) -> Membership {
        Membership {
            own: self.own,
            seeds: self.seeds,
            per_domain: self.per_domain,
            lifetime: self.lifetime,
            started: now,
            peers: IndexMap::new(),
            introduced: Vec::new(),
            next_near: now,
            next_far: now,
            next_greeting: now,
            greetings: 0,
            slots: 0,
            log_lines: Vec::new(),
        }
    }
}

/// What one gateway knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Heartbeat,
    seeds: Vec<IpAddr>,
    per_domain: usize,
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
    log_lines: Vec<String>,
}

impl Membership {
    /// Tells what has changed about this gateway.
    pub fn update_status(
        &mut self,
        phase: Phase,
        revision: u64,
        age: Option<Duration>,
        reader: bool,
    ) {
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
    pub fn set_domain_slots(&mut self, slots: u32) {
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
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|p| p.alive).count()
    }

    /// Number of gateways to which callers are directed, this gateway's failure domain included.
    pub fn directed_count(&self) -> usize {
        let near = self.needed(&self.ranked(&self.own.domain)).max(1);
        (1 + self.elsewhere().len()) * near
    }

    /// Lines for the log on what changed since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// A message came from `from`.
    pub fn receive(&mut self, now: Timestamp, from: IpAddr, message: Message) -> Vec<Outgoing> {
        match message {
            Message::Heartbeat(beat) => {
                let far = beat.domain != self.own.domain;
                self.hear(now, beat);
                match self.first_near() {
                    // The sender takes this gateway for the first one of its failure domain.
                    Some(first) if far => {
                        vec![Outgoing { to: from, message: Message::Peers(vec![first]) }]
                    }
                    _ => Vec::new(),
                }
            }
            Message::Join(beat) => {
                let to = beat.call_address.ip();
                let known = self.known_to(&beat);
                self.hear(now, beat);
                let own = Message::Heartbeat(self.next_beat());
                vec![Outgoing { to, message: Message::Peers(known) }, Outgoing { to, message: own }]
            }
            Message::Peers(hosts) => {
                self.introduced.retain(|host| *host != from);
                for host in hosts {
                    self.introduce(host);
                }
                Vec::new()
            }
        }
    }

    /// A connection to `host` broke although it had been heard: it is dead until it is heard again.
    pub fn connection_lost(&mut self, now: Timestamp, host: &str) {
        let Some(peer) = self.peers.get_mut(host) else { return };
        peer.lost = Some(now);
        if peer.alive {
            peer.alive = false;
            self.log_lines.push(format!("peer {host} closed its connection; dead"));
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
            let hosts: Vec<IpAddr> = self.near().map(|p| p.beat.call_address.ip()).collect();
            if self.is_first() {
                self.own.remote_primaries = self.heard_elsewhere();
            }
            self.send(hosts.into_iter(), &mut outgoing);
            self.own.remote_primaries = Vec::new();
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
            ranked.into_iter().take(count).map(|b| b.call_address).collect();
        let elsewhere = self.elsewhere();
        if addresses.is_empty() {
            addresses.extend(elsewhere.iter().filter(|(d, _)| **d == *domain).map(|(_, a)| *a));
        }
        if addresses.is_empty() {
            addresses.extend(self.ranked(&self.own.domain).first().map(|b| b.call_address));
            addresses.extend(elsewhere.iter().map(|(_, address)| *address));
        }
        Directions { addresses, lifetime: self.lifetime }
    }

    /// Whether callers are directed to this gateway.
    pub fn is_directed(&self) -> bool {
        self.directions(&self.own.domain).addresses.contains(&self.own.call_address)
    }

    fn near_interval(&self) -> Duration {
        let near = self.near().filter(|p| p.alive).count();
        NEAR_BEAT.max(NEAR_BEAT_EACH * u32::try_from(near).unwrap_or(u32::MAX))
    }

    fn near(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|p| p.beat.domain == self.own.domain)
    }

    fn next_beat(&mut self) -> Heartbeat {
        self.own.sequence += 1;
        self.own.clone()
    }

    fn send(&mut self, hosts: impl Iterator<Item = IpAddr>, outgoing: &mut Vec<Outgoing>) {
        let beat = self.next_beat();
        outgoing.extend(hosts.map(|to| Outgoing { to, message: Message::Heartbeat(beat.clone()) }));
    }

    fn greet(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let step = self.greetings.min(GREETINGS.len() - 1);
        let alone = self.peers.values().all(|p| !p.alive);
        let pause = GREETINGS[step];
        self.next_greeting = now + if alone { pause.min(LONELY_GREETING) } else { pause };
        self.greetings += 1;
        let own = self.own.call_address.ip();
        let seeds: Vec<IpAddr> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        let beat = self.next_beat();
        for to in seeds {
            outgoing.push(Outgoing { to, message: Message::Join(beat.clone()) });
        }
    }

    fn known_to(&self, beat: &Heartbeat) -> Vec<IpAddr> {
        let near = self.peers.values().filter(|p| p.alive && p.beat.domain == beat.domain);
        let others = near.filter(|p| p.beat.host != beat.host).map(|p| p.beat.call_address.ip());
        let firsts = self.first_of_others();
        let mut all: Vec<IpAddr> = others.take(TOLD).collect();
        all.extend(firsts.into_iter().filter(|ip| *ip != beat.call_address.ip()));
        all.dedup();
        all
    }

    fn introduce(&mut self, host: IpAddr) {
        let known = self.peers.values().any(|p| p.alive && p.beat.call_address.ip() == host);
        if host != self.own.call_address.ip() && !known && !self.introduced.contains(&host) {
            self.introduced.push(host);
        }
    }

    fn hear(&mut self, now: Timestamp, beat: Heartbeat) {
        if beat.host == self.own.host {
            return;
        }
        let host = Arc::clone(&beat.host);
        self.introduced.retain(|ip| *ip != beat.call_address.ip());
        let near = beat.domain == self.own.domain;
        let Some(peer) = self.peers.get_mut(&host) else {
            if near {
                self.log_lines.push(format!("peer {host} domain={} found", beat.domain));
            }
            self.peers.insert(host, Peer { beat, heard: now, lost: None, alive: true });
            if near {
                self.next_near = Timestamp::default();
            }
            return;
        };
        let same = peer.beat.incarnation == beat.incarnation;
        if same && beat.sequence <= peer.beat.sequence {
            return;
        }
        // A datagram that was under way when the process ended does not bring it back.
        if same && peer.lost.is_some_and(|at| now.since(at) < NEAR_BEAT / 2) {
            return;
        }
        if beat.phase == Phase::Leaving && peer.beat.phase != Phase::Leaving {
            self.log_lines.push(format!("peer {host} is leaving"));
        }
        if !peer.alive || !same {
            self.log_lines.push(format!("peer {host} is back, same process={same}"));
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
                if peer.beat.domain == domain || firsts.contains(&peer.beat.call_address) {
                    let silence = now.since(peer.heard);
                    self.log_lines.push(format!("peer {host} was silent for {silence:?}; dead"));
                }
            }
        }
        self.peers.retain(|_, p| p.alive || now.since(p.heard) < REMEMBERED);
    }
}
