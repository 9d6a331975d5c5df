//! Tracking of pings and their acknowledgements.
//!
//! Only an acknowledgement that repeats the number of a recent ping proves that the peer is alive
//! and that both directions work; a replayed or delayed message does not.

use indexmap::IndexMap;
use std::{collections::VecDeque, sync::Arc};

/// Consecutive pings without an acknowledgement after which a peer is accused.
pub const MAX_MISSED_PINGS: u32 = 3;

/// Number of latest pings of a peer whose acknowledgement still counts.
const MAX_RECENT_PINGS: usize = 4;

/// Pings sent by this entry, by peer.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    peers: IndexMap<Arc<str>, PeerPings>,
    /// Number of the latest ping to any peer.
    last: u64,
}

/// State of the pings sent to one peer.
#[derive(Clone, Debug, Default)]
struct PeerPings {
    /// Numbers of the latest pings, each with the version counter of this entry's record then.
    recent: VecDeque<(u64, u64)>,
    /// Whether an acknowledgement has arrived since the latest ping.
    acknowledged: bool,
    /// Consecutive unacknowledged pings.
    missed: u32,
    /// Highest version counter of this entry's record that counts as acknowledged.
    acknowledged_counter: u64,
}

/// Contents of a new ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ping {
    /// Number that the acknowledgement repeats.
    pub number: u64,
    /// Consecutive unacknowledged pings before this one.
    pub missed: u32,
    /// Whether to send this entry's record, as the peer has not yet acknowledged its version.
    pub send_record: bool,
}

impl Monitor {
    /// Starts a ping of `host`. `counter` is the version counter of this entry's record.
    pub fn ping(&mut self, host: &Arc<str>, counter: u64) -> Ping {
        self.last += 1;
        let pings = self.peers.entry(Arc::clone(host)).or_default();
        if !pings.recent.is_empty() && !pings.acknowledged {
            pings.missed += 1;
        }
        pings.acknowledged = false;
        pings.recent.push_back((self.last, counter));
        if pings.recent.len() > MAX_RECENT_PINGS {
            pings.recent.pop_front();
        }
        Ping {
            number: self.last,
            missed: pings.missed,
            send_record: pings.acknowledged_counter < counter,
        }
    }

    /// Records an acknowledgement. Returns whether it matches a recent ping.
    pub fn acknowledge(&mut self, host: &str, number: u64) -> bool {
        let Some(pings) = self.peers.get_mut(host) else { return false };
        let Some((_, counter)) = pings.recent.iter().find(|(n, _)| *n == number) else {
            return false;
        };
        pings.acknowledged = true;
        pings.missed = 0;
        pings.acknowledged_counter = pings.acknowledged_counter.max(*counter);
        true
    }

    /// Removes the pings of peers for which `keep` returns false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.peers.retain(|host, _| keep(host));
    }

    /// Removes all pings, after a pause of the process, so that none counts as missed.
    pub fn clear(&mut self) {
        self.peers.clear();
    }
}
