//! Faults of one target.

use serde::{Deserialize, Serialize};

/// Faults of a target. All are off by default.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service times are multiplied by this.
    pub slow_factor: f64,
    /// Every call is answered 500 at once without being run.
    pub error_fast: bool,
    /// Calls are run but never answered, and keep their slot until the connection closes.
    pub hang: bool,
    /// The load report says that no slot is in use.
    pub lie_idle: bool,
    /// Every answer says that the target drains; calls are still run.
    pub drain: bool,
    /// Every call is refused as draining.
    pub refuse_all: bool,
    /// Answers break off after this many bytes of their body.
    pub cut_answer_after_bytes: Option<u64>,
    /// Time between the end of the work and the answer, in ms. The slot is free by then.
    pub delay_answer_ms: u64,
    /// Starts a new incarnation whose first seconds are slow.
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
            cold: false,
        }
    }
}
