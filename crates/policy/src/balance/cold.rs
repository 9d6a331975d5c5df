//! Requests to targets that are cold: for some time after its start, a target can handle only the rate of
//! requests that the settings of its service name, and more would make it crash.
//!
//! One gateway of the target's failure domain uses the rate ([`ColdAssignment`]), the others send nothing
//! until the target is warm. No message has to arrive for that, so the bound holds from the moment at which
//! a gateway learns of the target. What gateways that disagree for a moment send together stays within the
//! slack of the bound.
//!
//! [`ColdAssignment`]: super::ColdAssignment

use super::limits::RequestRate;
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Requests that one gateway may send at once after a pause. Each further one would count for every gateway
/// that takes over the target within a second.
const BURST: f64 = 1.0;
/// Gateways with an uncertain view of the others that the bound has room for in the same second.
const CONTENDERS: f64 = 5.0;
/// Difference up to which a later end of the cold time is no news: records and answers are delayed by varying
/// times. A target counts as cold for this much longer, so that it is not taken for warm too early.
pub(super) const END_TOLERANCE: Duration = Duration::from_millis(100);

/// Bound on the requests that a cold target gets in any one second from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate of the service.
    pub over: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl Default for ColdBound {
    /// Returns the bound that a bucket with one token keeps.
    fn default() -> Self {
        Self { over: 1.0, slack: 1.0 }
    }
}

impl ColdBound {
    /// Returns the most requests that a target with this rate may get in one second.
    pub fn requests(&self, rate: RequestRate) -> f64 {
        rate.per_second() * self.over + self.slack
    }

    /// Returns the requests per second that one gateway with `share` may send. In one second it sends up to
    /// [`BURST`] more.
    fn own_rate(&self, rate: RequestRate, share: ColdShare) -> f64 {
        let most = match share {
            ColdShare::None => return 0.0,
            ColdShare::Contested => self.requests(rate) / CONTENDERS,
            ColdShare::Full => self.requests(rate),
        };
        rate.per_second().min(most - BURST).max(0.0)
    }
}

/// Part of the rate of a cold target that this gateway may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ColdShare {
    /// Another gateway uses it, or this one does not know the others well enough.
    #[default]
    None,
    /// Some gateways of the domain are not heard, and may use it too.
    Contested,
    /// No other gateway uses it.
    Full,
}

/// Rates of the services with cold targets, as gateways tell each other behind the answer to a request for an
/// update.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRates {
    /// Version of the settings that name them.
    pub settings: u64,
    /// Services that have a rate, by name.
    pub rates: Vec<(Arc<str>, RequestRate)>,
}

/// Whether a target is cold, and this gateway's use of its rate.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdTarget {
    /// Rate of the service, `None` if its targets may get any number of requests.
    rate: Option<RequestRate>,
    /// End of the cold time.
    until: Timestamp,
    /// Whether the process has been seen before.
    is_known: bool,
    share: ColdShare,
    /// Requests per second that this gateway may send.
    own_rate: f64,
    /// Requests that could be sent at `updated`.
    tokens: f64,
    updated: Timestamp,
}

impl ColdTarget {
    /// Returns whether the target is cold and its service has a rate.
    pub(super) fn is_cold(&self, now: Timestamp) -> bool {
        self.rate.is_some() && now < self.until
    }

    /// Returns the end of the cold time.
    pub(super) fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns the time until the target is warm, zero if it may get any number of requests.
    pub(super) fn time_left(&self, now: Timestamp) -> Duration {
        if self.rate.is_some() { self.until.since(now) } else { Duration::ZERO }
    }

    /// Returns the requests per second that this gateway may send, `None` if the target is not cold.
    pub(super) fn own_rate(&self, now: Timestamp) -> Option<f64> {
        self.is_cold(now).then_some(self.own_rate)
    }

    /// Returns the number of requests that may be sent now, infinite if the target is not cold.
    pub(super) fn tokens(&self, now: Timestamp) -> f64 {
        if !self.is_cold(now) {
            return f64::INFINITY;
        }
        if self.own_rate == 0.0 {
            return 0.0;
        }
        (self.tokens + now.since(self.updated).as_secs_f64() * self.own_rate).min(BURST)
    }

    /// Returns whether a request may be sent now.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Records that a request is sent. Returns whether it has used a token.
    pub(super) fn take(&mut self, now: Timestamp) -> bool {
        if !self.is_cold(now) {
            return false;
        }
        self.tokens = self.tokens(now) - 1.0;
        self.updated = now;
        true
    }

    /// Sets the rate of the service.
    pub(super) fn set_rate(&mut self, now: Timestamp, rate: Option<RequestRate>, bound: ColdBound) {
        self.rate = rate;
        self.set_own_rate(now, bound);
    }

    /// Sets the part of the rate that this gateway may use from now on, and has used since `since`: before,
    /// another one may have sent requests.
    pub(super) fn set_share(
        &mut self,
        now: Timestamp,
        share: ColdShare,
        since: Timestamp,
        bound: ColdBound,
    ) {
        if self.share == ColdShare::None && share != ColdShare::None {
            self.tokens = 0.0;
            self.updated = since;
        }
        self.share = share;
        self.set_own_rate(now, bound);
    }

    /// Records that the target says it is cold until `until`. Returns whether a known process has become cold again.
    pub(super) fn extend(&mut self, now: Timestamp, until: Timestamp) -> bool {
        let until = if now < until { until + END_TOLERANCE } else { until };
        let was_cold = now < self.until;
        let is_known = std::mem::replace(&mut self.is_known, true);
        if until <= self.until {
            return false;
        }
        self.until = until;
        if !is_known || was_cold || now >= until {
            return false;
        }
        // It has been sent requests at will until now.
        self.tokens = 0.0;
        self.updated = now;
        self.rate.is_some()
    }

    fn set_own_rate(&mut self, now: Timestamp, bound: ColdBound) {
        let own_rate = self.rate.map_or(0.0, |rate| bound.own_rate(rate, self.share));
        if own_rate != self.own_rate && self.own_rate > 0.0 && now > self.updated {
            let elapsed = now.since(self.updated).as_secs_f64();
            self.tokens = (self.tokens + elapsed * self.own_rate).min(BURST);
            self.updated = now;
        }
        self.own_rate = own_rate;
    }
}
