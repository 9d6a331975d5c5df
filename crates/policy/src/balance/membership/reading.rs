//! Who reads the platform, and of whom the others hear what it says.

use super::{Membership, Peer};
use crate::Timestamp;
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Age of the belief at which the next reader in order takes over, and how much later each
/// further one does.
const TAKEOVER: (Duration, Duration) = (Duration::from_millis(1_450), Duration::from_millis(250));
/// Ranks by which gateways without any news wait longer than one another.
const FIRST_RANKS: u32 = 4;
/// Time for which news from another failure domain is left to the own reader of the platform: from
/// the latest news on, or from the start of a gateway that has had none.
const FAR_PATIENCE: Duration = Duration::from_millis(1_200);

impl Membership {
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
    pub fn newer_peer(
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
        best.map(|p| (Arc::clone(&p.beat.host), p.beat.call_address.ip()))
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
    pub fn watched_peer(&self) -> Option<(Arc<str>, IpAddr)> {
        let ranked = self.ranked(&self.own.domain);
        let first = ranked.first().filter(|b| b.host != self.own.host)?;
        Some((Arc::clone(&first.host), first.call_address.ip()))
    }
}
