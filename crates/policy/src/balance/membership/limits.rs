//! Limits of targets: which gateway uses them, and how the others learn of them.
//!
//! A change goes from the gateway that learned of it to its failure domain, from there by the primary
//! to the primaries of the other domains, and by these to theirs. The gateways that callers are
//! directed to repeat all limits in force from time to time, for gateways that missed a message.

use super::{
    super::{
        heartbeat::{Heartbeat, Message, Outgoing, Phase},
        limits::{LimitNotice, LimitShare},
    },
    Membership, Peer, REMOTE_INTERVAL,
};
use crate::Timestamp;
use std::{
    hash::Hasher,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use xxhash_rust::xxh3::Xxh3Default;

/// Minimum interval at which limits are repeated within the failure domain.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of the notices in one datagram.
const MAX_NOTICE_BYTES: usize = 1_200;
/// Bytes of a notice beside the name of its target.
const NOTICE_OVERHEAD_BYTES: usize = 24;

/// Limits to be sent to other gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitOutbox {
    /// Changes to be sent, with the failure domains that do not know them yet.
    changes: Vec<(LimitNotice, Audience)>,
    /// All limits in force.
    in_force: Vec<LimitNotice>,
    /// Index of the limit in force that is repeated next.
    position: usize,
    next_local: Timestamp,
    next_remote: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    Local,
    Remote,
    All,
}

impl LimitOutbox {
    /// Returns when limits are to be sent next, [`Timestamp::MAX`] if there are none.
    pub(super) fn next_due(&self) -> Timestamp {
        match (self.changes.is_empty(), self.in_force.is_empty()) {
            (false, _) => Timestamp::default(),
            (true, false) => self.next_local.min(self.next_remote),
            (true, true) => Timestamp::MAX,
        }
    }

    /// Returns the limits that fit into one datagram, others at each call.
    fn next_page(&mut self) -> Vec<LimitNotice> {
        let count = self.in_force.len();
        let start = self.position % count.max(1);
        let all = self.in_force.iter().cycle().skip(start).take(count).cloned();
        let page = pages(all).into_iter().next().unwrap_or_default();
        self.position = start + page.len();
        page
    }
}

/// Which limits this gateway may use, by the view that it has of the others.
///
/// One of the gateways that callers are directed to uses the limit of a target: one of the target's
/// failure domain, or a primary of another domain if that one has no ready gateway.
#[derive(Clone, Debug, Default)]
pub struct LimitAssignment {
    own: Option<SocketAddr>,
    domain: Arc<str>,
    /// Gateways of the own domain that callers are directed to.
    local: Vec<SocketAddr>,
    /// The same as if the gateways that have fallen silent were alive.
    local_with_silent: Vec<SocketAddr>,
    /// The primary of the own domain and those of the others.
    primaries: Vec<SocketAddr>,
    /// Other domains that have a ready gateway.
    served_domains: Vec<Arc<str>>,
    /// Whether any gateway has fallen silent.
    has_silent: bool,
}

impl LimitAssignment {
    /// Returns the part of the limit of target `target` in failure domain `domain` that this gateway
    /// may use.
    pub fn share(&self, domain: &str, target: &str) -> LimitShare {
        let is_own = |candidates: &[SocketAddr]| {
            let first = candidates.iter().max_by_key(|address| rank_for(target, **address));
            self.own.is_some() && first == self.own.as_ref()
        };
        let is_local = domain == &*self.domain;
        if !is_local && self.served_domains.iter().any(|served| &**served == domain) {
            return LimitShare::None;
        }
        if !is_own(if is_local { &self.local } else { &self.primaries }) {
            return LimitShare::None;
        }
        // A silent gateway may be alive behind a broken link and use the limit as before.
        let is_contested = match is_local {
            true => !is_own(&self.local_with_silent),
            false => self.has_silent,
        };
        if is_contested { LimitShare::Half } else { LimitShare::Full }
    }
}

impl Membership {
    /// Returns which limits of targets this gateway may use now.
    pub fn limit_assignment(&self) -> LimitAssignment {
        if self.own.phase != Phase::Ready {
            return LimitAssignment::default();
        }
        let directed = |ranked: &[&Heartbeat]| {
            let first = ranked.iter().take(self.directed_len(ranked));
            first.map(|h| h.call_address).collect::<Vec<SocketAddr>>()
        };
        let local = directed(&self.ranked(&self.own.domain));
        let remote = self.remote_primaries();
        let remote_addresses = remote.iter().map(|(_, address)| *address);
        LimitAssignment {
            own: Some(self.own.call_address),
            domain: Arc::clone(&self.own.domain),
            primaries: local.iter().copied().take(1).chain(remote_addresses).collect(),
            local,
            local_with_silent: directed(&self.ranked_with_silent(&self.own.domain)),
            served_domains: remote.into_iter().map(|(domain, _)| domain).collect(),
            has_silent: self.peers.values().any(Peer::is_silent),
        }
    }

    /// Sets the limits in force that this gateway knows.
    pub fn set_limits(&mut self, in_force: Vec<LimitNotice>) {
        self.limit_outbox.in_force = in_force;
    }

    /// Sends changed limits on to the gateways that do not know them yet. `from` is the gateway that
    /// they came from, `None` if this gateway has learned of them from an answer.
    pub fn announce_limits(&mut self, notices: Vec<LimitNotice>, from: Option<IpAddr>) {
        let sender =
            from.and_then(|ip| self.peers.values().find(|p| p.heartbeat.call_address.ip() == ip));
        let audience = match (from, sender) {
            (None, _) => Audience::All,
            (Some(_), Some(p)) if p.heartbeat.domain == self.own.domain => Audience::Remote,
            (Some(_), _) => Audience::Local,
        };
        self.limit_outbox.changes.extend(notices.into_iter().map(|notice| (notice, audience)));
    }

    /// Returns the messages that tell a gateway all limits in force.
    pub(super) fn limits_for(&self, to: IpAddr) -> Vec<Outgoing> {
        let pages = pages(self.limit_outbox.in_force.iter().cloned()).into_iter();
        pages.map(|page| Outgoing { to, message: Message::Limits(page) }).collect()
    }

    /// Returns the limits that are due to be sent.
    pub(super) fn send_limits(&mut self, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let changes = std::mem::take(&mut self.limit_outbox.changes);
        let local: Vec<IpAddr> =
            self.local_peers().filter(|p| p.alive).map(|p| p.heartbeat.call_address.ip()).collect();
        let is_primary = self.is_primary();
        let remote = if is_primary { self.remote_contacts() } else { Vec::new() };
        let for_audience = |excluded: Audience| {
            let wanted = changes.iter().filter(move |(_, audience)| *audience != excluded);
            pages(wanted.map(|(notice, _)| notice.clone()))
        };
        for page in for_audience(Audience::Remote) {
            send_page(&local, page, outgoing);
        }
        for page in for_audience(Audience::Local) {
            send_page(&remote, page, outgoing);
        }
        if self.limit_outbox.in_force.is_empty() || !(is_primary || self.is_directed()) {
            return;
        }
        let local_interval = MIN_REPEAT_INTERVAL.max(self.local_interval());
        let outbox = &mut self.limit_outbox;
        let (local_due, remote_due) = (now >= outbox.next_local, now >= outbox.next_remote);
        if !(local_due || remote_due) {
            return;
        }
        let page = outbox.next_page();
        if local_due {
            outbox.next_local = now + local_interval;
            send_page(&local, page.clone(), outgoing);
        }
        if remote_due {
            outbox.next_remote = now + REMOTE_INTERVAL;
            send_page(&remote, page, outgoing);
        }
    }
}

fn send_page(to: &[IpAddr], page: Vec<LimitNotice>, outgoing: &mut Vec<Outgoing>) {
    outgoing
        .extend(to.iter().map(|to| Outgoing { to: *to, message: Message::Limits(page.clone()) }));
}

/// Splits notices into parts that fit into one datagram each.
fn pages<Notices>(notices: Notices) -> Vec<Vec<LimitNotice>>
where
    Notices: Iterator<Item = LimitNotice>,
{
    let mut pages: Vec<Vec<LimitNotice>> = Vec::new();
    let mut bytes = MAX_NOTICE_BYTES;
    for notice in notices {
        let size = notice.target.len() + NOTICE_OVERHEAD_BYTES;
        bytes += size;
        match pages.last_mut() {
            Some(page) if bytes <= MAX_NOTICE_BYTES => page.push(notice),
            _ => {
                bytes = size;
                pages.push(vec![notice]);
            }
        }
    }
    pages
}

/// Returns the rank of a gateway for a target: rendezvous hashing, so that few targets move when a
/// gateway comes or goes.
fn rank_for(target: &str, gateway: SocketAddr) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.write(target.as_bytes());
    hash.write(gateway.to_string().as_bytes());
    hash.finish()
}
