//! Limits on the rate of requests, which targets name in their answers.
//!
//! A target in need names the requests per second that it takes from all gateways together, for as
//! long as its answers say so. Every request that reaches the target counts: first attempts, further
//! ones, and probes.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// Thousandths in one request per second.
const THOUSANDTHS: f64 = 1_000.0;

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
