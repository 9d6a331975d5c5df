//! Which builds the gateways of the fleet run.
//!
//! During an upgrade gateways of two builds work side by side, and some promises hold only at those
//! of the later one. An operator has to see who runs what, and an upgrade that stays half done.

use super::{
    super::heartbeat::{Build, TRIAL_GENERATION},
    Membership, Peer,
};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Time for which the fleet may be of several generations without a warning, and between two
/// warnings.
const MIXED_TIME: Duration = Duration::from_mins(10);

/// Peers of other generations.
#[derive(Clone, Debug, Default)]
pub(super) struct BuildWatch {
    /// Generations of the live peers that differ from this gateway's.
    others: IndexMap<Arc<str>, u32>,
    /// When a warning is due, if there are such peers.
    warning_due: Option<Timestamp>,
    warnings: Vec<String>,
}

impl Membership {
    /// Returns the numbers of live gateways, this one included, by the generation of their messages.
    pub fn alive_by_generation(&self) -> IndexMap<u32, usize> {
        let mut counts = IndexMap::from([(self.own.build.generation, 1)]);
        for peer in self.peers.values().filter(|p| p.alive) {
            *counts.entry(peer.heartbeat.build.generation).or_default() += 1;
        }
        counts
    }

    /// Returns whether all live gateways that are known tell each other of trials of quarantined calls.
    pub fn all_know_trials(&self) -> bool {
        let mut alive = self.peers.values().filter(|p| p.alive);
        alive.all(|p| p.heartbeat.build.generation >= TRIAL_GENERATION)
    }

    /// Returns the name and the build of the gateway at `ip`, if it is known.
    pub fn build_at(&self, ip: IpAddr) -> Option<(&Arc<str>, &Build)> {
        let mut heartbeats = self.peers.values().map(|p| &p.heartbeat);
        let heartbeat = heartbeats.find(|h| h.call_address.ip() == ip)?;
        Some((&heartbeat.host, &heartbeat.build))
    }

    /// Returns the warnings since the last call.
    pub fn take_warnings(&mut self) -> Vec<String> {
        std::mem::take(&mut self.builds.warnings)
    }

    /// Notes which peers of other generations have appeared or left, and warns if there have been any
    /// for long.
    pub(super) fn watch_builds(&mut self, now: Timestamp) {
        let own = self.own.build.generation;
        let other = |p: &Peer| {
            let generation = p.heartbeat.build.generation;
            (p.alive && generation != own).then_some(generation)
        };
        let (peers, lines) = (&self.peers, &mut self.log_lines);
        let BuildWatch { others, warning_due, warnings } = &mut self.builds;
        others.retain(|host, generation| {
            let is_same = peers.get(host).and_then(other) == Some(*generation);
            if !is_same {
                lines.push(format!("peer {host} of generation={generation} left, own={own}"));
            }
            is_same
        });
        for (host, peer) in peers {
            if let Some(generation) = other(peer)
                && !others.contains_key(host)
            {
                // The version comes from the network.
                let version = &peer.heartbeat.build.version;
                lines.push(format!(
                    "peer {host} of generation={generation} version={version:?} appeared, own={own}"
                ));
                others.insert(Arc::clone(host), generation);
            }
        }
        if others.is_empty() {
            *warning_due = None;
            return;
        }
        if now >= *warning_due.get_or_insert(now + MIXED_TIME) {
            let (count, minutes) = (others.len(), MIXED_TIME.as_secs() / 60);
            warnings.push(format!(
                "peers of other generations for another {minutes} min, count={count} own={own}"
            ));
            *warning_due = Some(now + MIXED_TIME);
        }
    }
}
