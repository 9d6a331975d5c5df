//! Pings and their acknowledgements.
//!
//! Only an acknowledgement that repeats the number of a recent ping shows that a peer lives and
//! that both directions work; a recorded or delayed message does not.

use indexmap::IndexMap;
use std::{collections::VecDeque, sync::Arc};

/// Pings without an acknowledgement after which a peer is accused.
pub const MAX_MISSED_PINGS: u32 = 3;

const MAX_RECENT_PINGS: usize = 4;

/// Pings of this entry.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    peers: IndexMap<Arc<str>, PeerPings>,
    last: u64,
}

#[derive(Clone, Debug, Default)]
struct PeerPings {
    recent: VecDeque<u64>,
    acknowledged: bool,
    missed: u32,
    acknowledged_counter: u64,
    sent_counter: u64,
}

/// What a new ping is to carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ping {
    /// Number that the acknowledgement repeats.
    pub number: u64,
    /// Pings before this one that were not acknowledged, in a row.
    pub missed: u32,
    /// Whether the peer has not yet acknowledged the counter of this entry's record.
    pub send_record: bool,
}

impl Monitor {
    /// Begins a ping of `host`; `counter` is the counter of this entry's record.
    pub fn ping(&mut self, host: &Arc<str>, counter: u64) -> Ping {
        self.last += 1;
        let pings = self.peers.entry(Arc::clone(host)).or_default();
        if !pings.recent.is_empty() && !pings.acknowledged {
            pings.missed += 1;
        }
        pings.acknowledged = false;
        pings.recent.push_back(self.last);
        if pings.recent.len() > MAX_RECENT_PINGS {
            pings.recent.pop_front();
        }
        pings.sent_counter = counter;
        Ping {
            number: self.last,
            missed: pings.missed,
            send_record: pings.acknowledged_counter < counter,
        }
    }

    /// Takes in an acknowledgement. True when it answers a recent ping.
    pub fn acknowledge(&mut self, host: &str, number: u64) -> bool {
        let Some(pings) = self.peers.get_mut(host) else { return false };
        if !pings.recent.contains(&number) {
            return false;
        }
        pings.acknowledged = true;
        pings.missed = 0;
        pings.acknowledged_counter = pings.acknowledged_counter.max(pings.sent_counter);
        true
    }

    /// Forgets the pings of peers for which `keep` is false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.peers.retain(|host, _| keep(host));
    }

    /// The process was paused: no ping counts as missed.
    pub fn clear(&mut self) {
        self.peers.clear();
    }
}
