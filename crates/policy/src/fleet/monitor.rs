//! Pings and their acknowledgements.
//!
//! Only an acknowledgement that repeats the number of a recent ping shows that a peer lives and
//! that both directions work; a recorded or delayed message does not.

use indexmap::IndexMap;
use std::{collections::VecDeque, sync::Arc};

/// Pings without an acknowledgement after which a peer is accused.
pub const MISSES_ALLOWED: u32 = 3;

const KEPT_NUMBERS: usize = 4;

/// Pings of this entry.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    probes: IndexMap<Arc<str>, Probe>,
    last: u64,
}

#[derive(Clone, Debug, Default)]
struct Probe {
    numbers: VecDeque<u64>,
    answered: bool,
    missed: u32,
    known: u64,
    telling: u64,
}

/// What a new ping is to carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ping {
    /// Number that the acknowledgement repeats.
    pub number: u64,
    /// Pings before this one that were not acknowledged, in a row.
    pub missed: u32,
    /// Whether the peer has not yet acknowledged the change of this entry's record.
    pub tell: bool,
}

impl Monitor {
    /// Begins a ping of `host`; `change` is the change of this entry's record.
    pub fn ping(&mut self, host: &Arc<str>, change: u64) -> Ping {
        self.last += 1;
        let probe = self.probes.entry(Arc::clone(host)).or_default();
        if !probe.numbers.is_empty() && !probe.answered {
            probe.missed += 1;
        }
        probe.answered = false;
        probe.numbers.push_back(self.last);
        if probe.numbers.len() > KEPT_NUMBERS {
            probe.numbers.pop_front();
        }
        probe.telling = change;
        Ping { number: self.last, missed: probe.missed, tell: probe.known < change }
    }

    /// Takes in an acknowledgement. True when it answers a recent ping.
    pub fn acknowledge(&mut self, host: &str, number: u64) -> bool {
        let Some(probe) = self.probes.get_mut(host) else { return false };
        if !probe.numbers.contains(&number) {
            return false;
        }
        probe.answered = true;
        probe.missed = 0;
        probe.known = probe.known.max(probe.telling);
        true
    }

    /// Forgets the pings of peers for which `keep` is false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&str) -> bool,
    {
        self.probes.retain(|host, _| keep(host));
    }

    /// The process was paused: no ping counts as missed.
    pub fn forgive(&mut self) {
        self.probes.clear();
    }
}
