//! Limits on the rate of requests, which targets name in their answers.
//!
//! A target in need names the requests per second that it takes from all gateways together, for as
//! long as its answers say so. Every request that reaches the target counts: first attempts, further
//! ones, and probes.
//!
//! The figure is not divided among the gateways: many of them with a small part each could exceed it
//! together after a pause, and most parts would stay unused. One gateway at a time sends requests to
//! a limited target, at the full rate ([`LimitAssignment`]). All gateways tell each other
//! which limits are known, so that the others stop, and learn of the end of a limit.
//!
//! [`LimitAssignment`]: super::LimitAssignment

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
    time::Duration,
};

/// Thousandths in one request per second.
const THOUSANDTHS: f64 = 1_000.0;
/// Lower bound of the rate at which requests are sent: only an answer can tell that a limit of 0, or
/// close to it, has ended.
const MIN_RATE_PER_SECOND: f64 = 0.1;
/// Time from the assignment of a limited target, or from the first news of its limit, to the first
/// request. Until then, other gateways may not know of it yet.
const HANDOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Requests that may be sent at once after a pause, as seconds of the rate, and their range.
const BURST_SECONDS: f64 = 0.25;
const BURST_RANGE: (f64, f64) = (1.0, 2.0);

/// Number of requests per second, in steps of a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Rounds `per_second` down. Rates above about four million per second become that maximum.
    ///
    /// Returns `None` if `per_second` is negative or not a finite number.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        // The conversion saturates.
        (per_second.is_finite() && per_second >= 0.0)
            .then_some(Self((per_second * THOUSANDTHS) as u32))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}

impl Display for RequestRate {
    /// Writes the rate with its unit: `1.5/s`.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

/// What an answer says about the limit of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitField {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit that cannot be read, which changes nothing.
    Unreadable,
    /// It names this limit.
    Named(RequestRate),
}

/// Part of the limit of a target that this gateway may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitShare {
    /// Another gateway sends requests to the target.
    #[default]
    None,
    /// The gateway that had the target before has fallen silent and may still send requests.
    Half,
    /// No other gateway sends requests to the target.
    Full,
}

impl LimitShare {
    fn factor(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Half => 0.5,
            Self::Full => 1.0,
        }
    }
}

/// What a gateway knows about the limit of one target process, in the form sent to other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Name of the target.
    pub target: Arc<str>,
    /// Start of the target process, as in its record.
    pub started: Option<u64>,
    /// Version of the limit; the greatest is the latest. It begins with the time in ms since the Unix epoch
    /// at which a gateway first learned of a limit from an answer, 1 in earlier builds, and each change
    /// adds 1.
    pub version: u64,
    /// The limit, `None` once it has ended.
    pub rate: Option<RequestRate>,
}

/// Result of the comparison of a notice with what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// The notice was news and has been adopted.
    Adopted,
    /// Both say the same.
    Same,
    /// The sender of the notice is behind.
    Outdated,
}

/// Limit of one target process, and this gateway's use of it.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetLimit {
    version: u64,
    rate: Option<RequestRate>,
    share: LimitShare,
    /// Requests that could be sent at `updated`.
    tokens: f64,
    updated: Timestamp,
}

impl TargetLimit {
    /// Returns the limit in force.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the requests per second that this gateway may send, `None` if there is no limit.
    pub(super) fn own_rate(&self) -> Option<f64> {
        let rate = self.rate?.per_second().max(MIN_RATE_PER_SECOND);
        Some(rate * self.share.factor())
    }

    /// Returns the number of requests that may be sent now, infinite if there is no limit.
    pub(super) fn tokens(&self, now: Timestamp) -> f64 {
        let Some(rate) = self.own_rate() else { return f64::INFINITY };
        if rate == 0.0 {
            return 0.0;
        }
        let burst = (rate * BURST_SECONDS).clamp(BURST_RANGE.0, BURST_RANGE.1);
        (self.tokens + now.since(self.updated).as_secs_f64() * rate).min(burst)
    }

    /// Returns whether a request may be sent now.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Returns the time until the handover to this gateway is over.
    pub(super) fn handover_left(&self, now: Timestamp) -> Duration {
        self.updated.since(now)
    }

    /// Records that a request is sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        if self.rate.is_some() {
            self.settle(now);
            self.tokens -= 1.0;
        }
    }

    /// Records the limit named in the answer to a request that was sent when `known_version` was the
    /// latest known. Returns whether the limit has changed. A gateway that knows no version yet begins
    /// with `first_version`.
    ///
    /// An answer can have been overtaken by later ones at other gateways: it can lower the limit, but
    /// it raises or ends it only if its request was sent after the limit became known.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        field: LimitField,
        known_version: u64,
        first_version: u64,
    ) -> bool {
        let named = match field {
            LimitField::Unreadable => return false,
            LimitField::Absent => None,
            LimitField::Named(rate) => Some(rate),
        };
        let is_lower = named.is_some_and(|named| self.rate.is_none_or(|rate| named < rate));
        if named == self.rate || !(is_lower || known_version == self.version) {
            return false;
        }
        self.version = match self.version {
            0 => first_version.max(1),
            version => version.saturating_add(1),
        };
        self.set_rate(now, named);
        true
    }

    /// Adopts what another gateway knows, if it is later. Of two changes that gateways made at the
    /// same time, the lower limit wins.
    pub(super) fn merge(&mut self, now: Timestamp, notice: &LimitNotice) -> Merged {
        let order = |rate: Option<RequestRate>| rate.map_or(u32::MAX, |rate| rate.0);
        let is_lower = order(notice.rate) < order(self.rate);
        if notice.version < self.version {
            return Merged::Outdated;
        }
        if notice.version == self.version && !is_lower {
            return Merged::Same;
        }
        self.version = notice.version;
        self.set_rate(now, notice.rate);
        Merged::Adopted
    }

    /// Sets the part of the limit that this gateway may use from now on.
    pub(super) fn set_share(&mut self, now: Timestamp, share: LimitShare) {
        if share == self.share {
            return;
        }
        self.settle(now);
        if self.share == LimitShare::None {
            self.begin_handover(now);
        }
        self.share = share;
    }

    fn set_rate(&mut self, now: Timestamp, rate: Option<RequestRate>) {
        self.settle(now);
        if self.rate.is_none() {
            self.begin_handover(now);
        }
        self.rate = rate;
    }

    /// Counts the tokens that were added until now, so that another rate applies from now on.
    fn settle(&mut self, now: Timestamp) {
        if self.rate.is_some() && now > self.updated {
            self.tokens = self.tokens(now);
            self.updated = now;
        }
    }

    fn begin_handover(&mut self, now: Timestamp) {
        self.tokens = 0.0;
        self.updated = now + HANDOVER_DELAY;
    }
}
