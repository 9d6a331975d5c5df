//! Peers that know of evacuations. Those of earlier builds deliver the platform's data without them.

use super::{
    super::{
        heartbeat::{EVACUATION_GENERATION, Heartbeat},
        revision::Revision,
    },
    Membership, Peer,
};
use crate::Timestamp;
use std::{net::IpAddr, sync::Arc};

impl Membership {
    /// Returns the peer to ask for evacuations if those up to `complete` are known and later ones may be
    /// missing, local before remote. Peers that have not delivered lately are left out.
    pub fn evacuation_peer(
        &self,
        now: Timestamp,
        complete: Revision,
    ) -> Option<(Arc<str>, IpAddr)> {
        let may_know = |p: &Peer| {
            let revision = p.heartbeat.known_revision();
            knows_evacuations(&p.heartbeat)
                && revision > complete
                && revision.may_follow(complete)
                && !self.is_doubtful(now, &p.heartbeat.host)
        };
        let peers = self.peers.values().filter(|p| p.alive && may_know(p));
        let local = |p: &Peer| p.heartbeat.domain == self.own.domain;
        let best = peers.max_by_key(|p| (local(p), p.heartbeat.known_revision()));
        best.map(|p| (Arc::clone(&p.heartbeat.host), p.heartbeat.call_address.ip()))
    }
}

/// Returns whether a gateway reads evacuations from the platform and passes them on.
pub(super) fn knows_evacuations(heartbeat: &Heartbeat) -> bool {
    heartbeat.build.generation >= EVACUATION_GENERATION
}
