//! Tracks callers that retry after a refusal, to reserve extra attempts for them.
//!
//! The caller of a call that is refused for the first time can retry it; after a second refusal it
//! mostly cannot. While targets refuse many calls, extra attempts are therefore most valuable for
//! calls that came back. Such a call has a new id, so it is recognized by its caller, its route and
//! the time.

use crate::Timestamp;
use indexmap::IndexMap;
use std::{net::IpAddr, sync::Arc, time::Duration};

/// Time beyond the given retry delay within which callers return, on a new connection.
const RETURN_GRACE: Duration = Duration::from_millis(300);
/// Refusals that are remembered at a time: a few seconds of a gateway's calls.
const MAX_PENDING: usize = 4_096;
/// Initial counts of refusals and returns: every refused caller is assumed to return at first.
const INITIAL_COUNT: f64 = 20.0;
/// Factor applied to the older counts at each refusal.
const COUNT_DECAY: f64 = 0.995;

/// Address of the caller, and name of the route.
pub(super) type Origin = (IpAddr, Arc<str>);

/// Refused call that may come back.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Until when a call of the same origin is taken for the same call.
    until: Timestamp,
    /// Objective of the call that was refused.
    objective: Timestamp,
    /// Whether the call was refused for the first time.
    first: bool,
}

/// Refused calls of one service, with exponentially decaying counts.
#[derive(Clone, Debug)]
pub(super) struct RefusalTracker {
    pending: IndexMap<Origin, Refusal>,
    /// Calls that were refused for the first time.
    refused: f64,
    /// Calls that came back after a refusal.
    returned: f64,
}

impl Default for RefusalTracker {
    fn default() -> Self {
        Self { pending: IndexMap::new(), refused: INITIAL_COUNT, returned: INITIAL_COUNT }
    }
}

impl RefusalTracker {
    /// Records a call that was refused, for the first time or again, and may be retried after
    /// `retry_after`.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        origin: Origin,
        retry_after: Duration,
        objective: Timestamp,
        first: bool,
    ) {
        if first {
            self.refused = self.refused * COUNT_DECAY + 1.0;
            self.returned *= COUNT_DECAY;
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.retain(|_, refusal| refusal.until >= now);
        }
        if self.pending.len() < MAX_PENDING {
            let until = now + retry_after + RETURN_GRACE;
            self.pending.insert(origin, Refusal { until, objective, first });
        }
    }

    /// Checks whether an arriving call is the retry of a refused one, and returns the objective of
    /// that call if so.
    pub(super) fn match_return(&mut self, now: Timestamp, origin: &Origin) -> Option<Timestamp> {
        let refusal = self.pending.swap_remove(origin)?;
        if refusal.until < now {
            return None;
        }
        self.returned += f64::from(u8::from(refusal.first));
        Some(refusal.objective)
    }

    /// Returns the extra attempts that returning calls will need in a window, given the fraction
    /// `refusal_rate` of attempts that targets refuse and `arrivals`, the calls in a window
    /// including returning ones.
    pub(super) fn expected_demand(&self, refusal_rate: f64, arrivals: f64) -> f64 {
        let return_rate = (self.returned / self.refused).min(1.0);
        // Returning calls for each new call.
        let returning = refusal_rate * return_rate;
        arrivals * returning * refusal_rate / (1.0 + returning)
    }
}
