//! Faults of a target.

use serde::{Deserialize, Serialize};

/// Faults of a target. All are off by default.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which service times are multiplied.
    pub slow_factor: f64,
    /// Every call gets status 500 at once and is not run.
    pub error_fast: bool,
    /// Calls are run but get no response, and keep their slot until the connection closes.
    pub hang: bool,
    /// Every response reports that no slot is in use.
    pub lie_idle: bool,
    /// Every response reports that the target is draining; calls are still run.
    pub drain: bool,
    /// Every call is refused because the target is draining.
    pub refuse_all: bool,
    /// The connection is aborted after this many bytes of the response body.
    pub cut_answer_after_bytes: Option<u64>,
    /// Delay between the end of a run and its response, in ms. The slot is free during the delay.
    pub delay_answer_ms: u64,
    /// Every call outside a rest is refused as busy and asks for a rest of this time, in ms. Calls
    /// within the rest are refused as busy. 0 asks for none.
    pub rest_ms: u64,
    /// Responses do not report how many slots are in use.
    pub hide_load: bool,
    /// Starts a new incarnation, which has longer service times for the configured cold period.
    pub cold: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            error_fast: false,
            hang: false,
            lie_idle: false,
            drain: false,
            refuse_all: false,
            cut_answer_after_bytes: None,
            delay_answer_ms: 0,
            rest_ms: 0,
            hide_load: false,
            cold: false,
        }
    }
}
