//! Callers that come back after a refusal, and the second tries that they will need.
//!
//! A call that is refused for the first time can come back; one that came back mostly cannot. While
//! targets refuse many calls, second tries are therefore worth most for calls that came back. Such a
//! call bears a new id, so it is known by where it comes from, its route and the time.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Time beyond the one told in which callers come back, with a new connection.
const RETURN_TIME: Duration = Duration::from_millis(300);
/// Refusals that are remembered at a time, a few seconds' worth of a gateway's calls.
const REMEMBERED: usize = 4_096;
/// Refusals that are taken for seen at first, after each of which the caller came back.
const ASSUMED: f64 = 20.0;
/// Part of the older counts that a refusal leaves.
const KEPT: f64 = 0.995;

/// Where a call comes from, and its route.
pub(super) type Origin = (IpAddr, Arc<str>);

#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Until when a call of the same origin is the same call.
    until: Timestamp,
    /// Objective of the call that was refused.
    objective: Timestamp,
}

/// Refusals of calls for one service. Older counts are forgotten bit by bit.
#[derive(Clone, Debug)]
pub(super) struct Returning {
    open: IndexMap<Origin, Refusal>,
    refused: f64,
    back: f64,
}

impl Default for Returning {
    fn default() -> Self {
        Self { open: IndexMap::new(), refused: ASSUMED, back: ASSUMED }
    }
}

impl Returning {
    /// A call was refused for the first time and asked to come back after `retry_after`.
    pub(super) fn refused(
        &mut self,
        now: Timestamp,
        origin: Origin,
        retry_after: Duration,
        objective: Timestamp,
    ) {
        self.refused = self.refused * KEPT + 1.0;
        self.back *= KEPT;
        if self.open.len() >= REMEMBERED {
            self.open.retain(|_, refusal| refusal.until >= now);
        }
        if self.open.len() < REMEMBERED {
            let until = now + retry_after + RETURN_TIME;
            self.open.insert(origin, Refusal { until, objective });
        }
    }

    /// A call arrived. Returns the objective that it had before if it was refused a moment ago.
    pub(super) fn arrived(&mut self, now: Timestamp, origin: &Origin) -> Option<Timestamp> {
        let refusal = self.open.swap_remove(origin)?;
        if refusal.until < now {
            return None;
        }
        self.back += 1.0;
        Some(refusal.objective)
    }

    /// Second tries that calls which come back will need in a window, when targets refuse the part
    /// `refused` of attempts, and `arrivals` come in a window, the returning ones among them.
    pub(super) fn needs(&self, refused: f64, arrivals: f64) -> f64 {
        let returns = (self.back / self.refused).min(1.0);
        let back = refused * returns;
        arrivals * back * refused / (1.0 + back)
    }
}
