//! Cold targets: which gateway uses their rate.

use super::{
    super::{cold::ColdShare, heartbeat::Phase},
    Membership, Peer, SETTLE_TIME,
    limits::rank_for,
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Generation from which on gateways tell each other the rates of cold targets.
const COLD_RATES_GENERATION: u32 = 5;
/// Time for which a gateway of the domain that has fallen silent without an end counts as one that may use
/// rates. It may be alive behind a broken link.
const SILENT_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a gateway counts that others have named and that has not been heard: two rounds of join
/// messages.
const NAMED_MEMORY: Duration = Duration::from_secs(130);
/// Maximum number of gateways that are remembered in this way.
const MAX_REMEMBERED: usize = 1_024;
/// One in this many seeds has to be heard before a gateway uses rates, so that of the gateways that are cut off
/// from each other at their start, those of three parts at most do.
const SEEDS_PER_HEARD: usize = 3;
/// Time after its start from which on a seed that is heard counts. If all gateways start at once, the first answers
/// of the seeds name no others yet, and one that is cut off after them knows too little of the fleet.
const SEED_DELAY: Duration = Duration::from_secs(1);
/// A gateway that does not hear one in this many gateways of its domain uses rates as a contested one: where
/// hearing is not mutual, several may take themselves for the first.
const MISSING_PART: usize = 4;
/// One that does not hear more than one in this many uses no rates: the others are the majority.
const MAX_MISSING_PART: usize = 2;

/// Which rates of cold targets this gateway may use, by the view that it has of the others.
///
/// One of the gateways of the target's failure domain that callers are directed to uses the rate. Gateways of
/// other domains use none, also if the domain has no gateway: they could not agree on one of them while their
/// views differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdAssignment {
    own: Option<SocketAddr>,
    domain: Arc<str>,
    /// Settled gateways of the domain that callers are directed to.
    candidates: Vec<SocketAddr>,
    is_contested: bool,
}

impl ColdAssignment {
    /// Returns the part of the rate of target `target` in failure domain `domain` that this gateway may use.
    pub fn share(&self, domain: &str, target: &str) -> ColdShare {
        let first = self.candidates.iter().max_by_key(|address| rank_for(target, **address));
        if self.own.is_none() || first != self.own.as_ref() || domain != &*self.domain {
            return ColdShare::None;
        }
        if self.is_contested { ColdShare::Contested } else { ColdShare::Full }
    }
}

/// What a gateway knows of others that it does not hear.
#[derive(Clone, Debug, Default)]
pub(super) struct Unheard {
    /// Gateways of the domain that have fallen silent, with the time at which they were heard last.
    silent: IndexMap<Arc<str>, Timestamp>,
    /// Hosts that other gateways have named, with the time of the latest naming, until they are heard.
    named: IndexMap<IpAddr, Timestamp>,
    /// Seeds that have been heard.
    heard_seeds: IndexSet<IpAddr>,
    /// Whether enough seeds have been heard.
    has_joined: bool,
}

impl Unheard {
    fn expire(&mut self, now: Timestamp) {
        self.silent.retain(|_, heard| now.since(*heard) < SILENT_MEMORY);
        self.named.retain(|_, at| now.since(*at) < NAMED_MEMORY);
    }
}

impl Membership {
    /// Returns which rates of cold targets this gateway may use now.
    pub fn cold_assignment(&self) -> ColdAssignment {
        let heard = self.live_peers(true);
        let missing = self.missing_count();
        let total = 1 + heard + missing;
        let knows_others = self.unheard.has_joined && missing * MAX_MISSING_PART <= total;
        if self.own.phase != Phase::Ready || !knows_others {
            return ColdAssignment::default();
        }
        let directed = self.directed(&self.own.domain).into_iter();
        let candidates = match self.is_alone() {
            true => vec![self.own.call_address],
            false => directed.filter(|h| h.settled).map(|h| h.call_address).collect(),
        };
        ColdAssignment {
            own: Some(self.own.call_address),
            domain: Arc::clone(&self.own.domain),
            candidates,
            is_contested: missing * MISSING_PART >= total,
        }
    }

    /// Returns a gateway of the domain whose answers to requests for updates carry the rates of cold targets.
    pub fn cold_rates_peer(&self, now: Timestamp) -> Option<(Arc<str>, IpAddr)> {
        let peers = self.local_peers().filter(|p| p.alive).map(|p| &p.heartbeat);
        let mut able = peers.filter(|h| h.build.generation >= COLD_RATES_GENERATION);
        let found = able.find(|h| h.age_ms.is_some() && !self.is_doubtful(now, &h.host))?;
        Some((Arc::clone(&found.host), found.call_address.ip()))
    }

    /// Records that another gateway has named `hosts`. Those that are known have been heard.
    pub(super) fn record_named(&mut self, now: Timestamp, hosts: &[IpAddr]) {
        let addresses = self.peers.values().map(|p| p.heartbeat.call_address.ip());
        let known: IndexSet<IpAddr> = addresses.chain([self.own.call_address.ip()]).collect();
        for host in hosts.iter().filter(|host| !known.contains(*host)) {
            if self.unheard.named.len() < MAX_REMEMBERED {
                self.unheard.named.insert(*host, now);
            }
        }
    }

    /// Follows which gateways are heard.
    pub(super) fn update_unheard(&mut self, now: Timestamp) {
        for (host, peer) in &self.peers {
            let address = peer.heartbeat.call_address.ip();
            self.unheard.named.swap_remove(&address);
            let is_informed = peer.heard >= self.started + SEED_DELAY;
            if !self.unheard.has_joined && is_informed && self.seeds.contains(&address) {
                self.unheard.heard_seeds.insert(address);
            }
            if peer.heartbeat.domain != self.own.domain {
                continue;
            }
            if !peer.is_silent() {
                self.unheard.silent.swap_remove(host);
            } else if self.unheard.silent.len() < MAX_REMEMBERED {
                self.unheard.silent.insert(Arc::clone(host), peer.heard);
            }
        }
        self.unheard.expire(now);
        self.unheard.has_joined = self.unheard.has_joined || self.has_heard_seeds();
    }

    /// Returns whether enough seeds have been heard; this gateway counts if it is one.
    fn has_heard_seeds(&self) -> bool {
        let seeds: IndexSet<IpAddr> = self.seeds.iter().copied().collect();
        let is_seed = seeds.contains(&self.own.call_address.ip());
        let heard = self.unheard.heard_seeds.len() + usize::from(is_seed);
        heard * SEEDS_PER_HEARD >= seeds.len()
    }

    /// Returns whether no other gateway has to be expected.
    fn is_alone(&self) -> bool {
        let own = self.own.call_address.ip();
        self.peers.is_empty() && self.seeds.iter().all(|seed| *seed == own)
    }

    /// Returns the live gateways of the domain that this one has heard since it settled, or that it has not. What
    /// the latter have said of themselves is out of date: those that started with this one have settled, too.
    fn live_peers(&self, is_heard: bool) -> usize {
        let settled = self.started + SETTLE_TIME;
        let is_live = |p: &&Peer| p.alive && p.heartbeat.phase != Phase::Leaving;
        self.local_peers().filter(is_live).filter(|p| (p.heard >= settled) == is_heard).count()
    }

    /// Returns the number of gateways that may be alive and are not heard. Of other domains, only the primary hears
    /// any.
    fn missing_count(&self) -> usize {
        let missing = self.unheard.silent.len() + self.live_peers(false);
        if self.unheard.named.is_empty() {
            return missing;
        }
        let remote = self.remote_primaries();
        let is_remote = |host: &IpAddr| remote.iter().any(|(_, address)| address.ip() == *host);
        missing + self.unheard.named.keys().filter(|host| !is_remote(host)).count()
    }
}
