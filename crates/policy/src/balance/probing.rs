//! When no target is worth a probe: while the gateway itself is late.
//!
//! A report on a machine is used for some 20 ms. A gateway that gets to the answer later than that learns
//! nothing from it, and has one more exchange to handle, which makes it later still. It also must not blame
//! targets for answers that it has not read in time.

use super::load::REPORT_TTL;
use crate::Timestamp;
use std::time::Duration;

/// Time without probes after the gateway was late.
const PAUSE: Duration = Duration::from_millis(150);

/// Whether targets may be probed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProbeGate {
    closed_until: Timestamp,
}

impl ProbeGate {
    /// Records that a timer of the gateway came `late`.
    pub(super) fn record_lateness(&mut self, now: Timestamp, late: Duration) {
        if late >= REPORT_TTL {
            self.closed_until = now + PAUSE;
        }
    }

    /// Returns whether the gateway is on time.
    pub(super) fn is_open(self, now: Timestamp) -> bool {
        now >= self.closed_until
    }
}
