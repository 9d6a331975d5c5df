//! Choice of the gateways that read the platform, and of the peers from which the others fetch
//! changes.

use super::{
    super::{heartbeat::Heartbeat, revision::Revision},
    KnownData, Membership, Peer,
    evacuations::knows_evacuations,
};
use crate::Timestamp;
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Age of the platform data after which a gateway takes over reading: a base, and a delay added for
/// each gateway that ranks before it.
const TAKEOVER_AGE: (Duration, Duration) =
    (Duration::from_millis(1_450), Duration::from_millis(250));
/// Heartbeat intervals after which a gateway that is not heard adds no delay.
const MAX_INTERVALS: f64 = 1.5;
/// Maximum rank counted in that delay while a gateway has no platform data.
const MAX_STARTUP_RANK: u32 = 4;
/// Time after its start for which a gateway that knows no other leaves reading to the seeds, which tell it of the
/// others. If all start at once, each would otherwise take itself for the first and read.
const DISCOVERY_DELAY: Duration = Duration::from_millis(100);
/// Time for which changes known in another failure domain are left to the local domain's reader,
/// counted from the latest platform data, or from the start of a gateway that has none.
const REMOTE_DELAY: Duration = Duration::from_millis(1_200);
/// Time for which other gateways are asked for updates first, after one has not delivered what it announced.
/// A gateway that falls silent counts as alive for somewhat less in a large failure domain.
const DOUBT_TIME: Duration = Duration::from_secs(3);

impl Membership {
    /// Returns whether this gateway has to read the platform: no gateway of its failure domain that
    /// ranks before it can, or its data has become so old that none of them seems to. `own_age` is the
    /// age of its platform data; without any, the time since its start counts.
    pub fn is_reader(&self, now: Timestamp, own_age: Option<Duration>) -> bool {
        if own_age.is_none() && self.awaits_seeds(now) {
            return false;
        }
        // What is left to a gateway of an earlier build comes without evacuations.
        let can_read = |p: &Peer| {
            let heartbeat = &p.heartbeat;
            !heartbeat.reads.failing
                && !self.may_ignore_era(heartbeat)
                && knows_evacuations(heartbeat)
        };
        let rank = self.rank_in_domain(can_read);
        // Of several gateways that fall silent at once, each would otherwise be waited for.
        let max_silence = self.local_interval().mul_f64(MAX_INTERVALS);
        let is_heard = |p: &Peer| can_read(p) && now.since(p.heard) <= max_silence;
        let delay_rank = self.rank_in_domain(is_heard).max(1);
        let delay_rank = u32::try_from(delay_rank).unwrap_or(u32::MAX);
        let age = own_age.unwrap_or_else(|| now.since(self.started));
        // Without platform data no call can be served, so the lowest ranks do not wait for long.
        let max_rank = if own_age.is_none() { MAX_STARTUP_RANK } else { u32::MAX };
        let delay_rank = delay_rank.min(max_rank);
        rank == 0 || age > TAKEOVER_AGE.0 + TAKEOVER_AGE.1 * delay_rank
    }

    /// Returns whether this gateway has just started and may soon learn from the seeds of other gateways.
    fn awaits_seeds(&self, now: Timestamp) -> bool {
        let own = self.own.call_address.ip();
        let has_other_seeds = !self.seeds.is_empty() && !self.seeds.contains(&own);
        has_other_seeds && self.peers.is_empty() && now.since(self.started) < DISCOVERY_DELAY
    }

    /// Returns the peer to fetch what is later than `known` from: the one with the latest revision or,
    /// among equals, the latest settings, local before remote, and doubtful ones last. `age` is the age of this gateway's data;
    /// remote peers, and those of builds that know nothing of evacuations, are considered only if no other
    /// gateway has delivered data for a while, or if they have settings that the platform has lost.
    pub fn newer_peer(
        &self,
        now: Timestamp,
        known: KnownData,
        age: Option<Duration>,
    ) -> Option<(Arc<str>, IpAddr)> {
        let age = age.unwrap_or_else(|| now.since(self.started));
        let include_remote = age >= REMOTE_DELAY;
        let local = |p: &Peer| p.heartbeat.domain == self.own.domain;
        let is_ahead = |p: &Peer| {
            let heartbeat = &p.heartbeat;
            let revision = heartbeat.known_revision();
            if !revision.may_follow(known.revision) {
                return false;
            }
            let has_later = revision > known.revision;
            // Settings have an order of their own, which holds across eras. If the peer has no later
            // revision, the platform does not bring its settings.
            let extension = heartbeat.extension;
            let has_settings = extension.era != 0 && extension.settings > known.settings;
            // The domain's own reader may be of a build that ignores a later era.
            let has_later_era = !known.revision.is_unknown() && revision.era > known.revision.era;
            // A gateway that has just started needs targets and settings, whoever delivers them.
            let is_trusted = knows_evacuations(heartbeat) || known.revision.is_unknown();
            if include_remote || (local(p) && is_trusted) {
                // A gateway of an earlier build does not say which settings it has.
                return has_later || has_settings || (include_remote && self.lacks_era(heartbeat));
            }
            has_later_era || (has_settings && !has_later)
        };
        let ahead = self.peers.values().filter(|p| p.alive && is_ahead(p));
        let best = ahead.max_by_key(|p| {
            let heartbeat = &p.heartbeat;
            let is_sound = !self.is_doubtful(now, &heartbeat.host);
            (is_sound, local(p), heartbeat.known_revision(), heartbeat.extension.settings)
        });
        best.map(|p| (Arc::clone(&p.heartbeat.host), p.heartbeat.call_address.ip()))
    }

    /// Records that gateway `host` did not deliver the update that its heartbeats announce.
    pub fn update_failed(&mut self, now: Timestamp, host: &Arc<str>) {
        self.doubtful.retain(|_, until| now < *until);
        self.doubtful.insert(Arc::clone(host), now + DOUBT_TIME);
    }

    /// Returns whether gateway `host` has lately not delivered an update that its heartbeats announced.
    pub fn is_doubtful(&self, now: Timestamp, host: &str) -> bool {
        self.doubtful.get(host).is_some_and(|until| now < *until)
    }

    /// Returns the age of the most recent platform data of a peer that knows of no change after
    /// `revision` in the same era, and that would follow a restored platform and evacuations.
    pub fn confirmed_age(&self, now: Timestamp, revision: Revision) -> Option<Duration> {
        let same = self.peers.values().filter(|p| {
            let known = p.heartbeat.known_revision();
            let is_complete = !self.may_ignore_era(&p.heartbeat) && knows_evacuations(&p.heartbeat);
            p.alive && is_complete && known.era == revision.era && known <= revision
        });
        let age = |p: &Peer| {
            let reported = Duration::from_millis(u64::from(p.heartbeat.age_ms?));
            Some(reported + now.since(p.heard))
        };
        same.filter_map(age).min()
    }

    /// Returns whether a gateway has data that cannot be compared with this one's, since its build
    /// does not know the era.
    fn lacks_era(&self, heartbeat: &Heartbeat) -> bool {
        let own_era = self.own.extension.era;
        own_era != 0 && heartbeat.extension.era == 0 && heartbeat.age_ms.is_some()
    }

    /// Returns whether reading the platform cannot be left to a gateway, since it may ignore what a
    /// restored platform lists.
    fn may_ignore_era(&self, heartbeat: &Heartbeat) -> bool {
        // Data that came from such a gateway has no era either, so its build has to tell.
        let has_unknown_build = heartbeat.build.generation == 0;
        let names_no_era = heartbeat.extension.era == 0 && heartbeat.age_ms.is_some();
        self.lacks_era(heartbeat) || (has_unknown_build && names_no_era)
    }

    /// Returns the highest-ranked ready gateway of the failure domain, whose end has to be detected
    /// at once. `None` if that is this gateway, or if no gateway is ready.
    pub fn watched_peer(&self) -> Option<(Arc<str>, IpAddr)> {
        let ranked = self.ranked(&self.own.domain);
        let first = ranked.first().filter(|h| h.host != self.own.host)?;
        Some((Arc::clone(&first.host), first.call_address.ip()))
    }
}
