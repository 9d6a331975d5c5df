//! One target as this gateway sees it.

use super::{catalog::ListedTarget, load::Load};
use crate::Timestamp;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Shortest and longest time for which a target gets no calls after a failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(4));
/// Shortest and longest time for which a target gets no calls after probes that were not answered.
const PROBE_PAUSE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));
/// Broken exchanges in a row after which a target is paused.
const BROKEN_IN_A_ROW: u32 = 2;
/// Time for which a probe under way keeps others from being sent.
pub(super) const PROBE_TIME: Duration = Duration::from_millis(100);

/// A call under way at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) call: u64,
    pub(super) since: Timestamp,
    /// Time that it is expected to take.
    pub(super) expected: f64,
    /// Whether the target was crowded when it began.
    pub(super) crowded: bool,
    /// Expected time over the time at an idle, warm target of the usual pace.
    pub(super) scale: f64,
    /// Whether the pace was known when it began.
    pub(super) known: bool,
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) started: Option<u64>,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) near: bool,
    pub(super) warm_at: Timestamp,
    pub(super) running: Vec<Running>,
    pub(super) load: Load,
    pub(super) paused_until: Timestamp,
    /// The address has changed hands; no calls until the record changes.
    pub(super) moved: bool,
    /// When a probe was sent whose answer is awaited.
    pub(super) probed: Option<Timestamp>,
    /// Probes in a row that were not answered.
    pub(super) unanswered: u32,
    /// Probes that may be sent, and when that was counted.
    pub(super) allowance: (f64, Timestamp),
}

impl Target {
    pub(super) fn new(now: Timestamp, listed: &ListedTarget, domain: &str) -> Self {
        let record = &listed.record;
        Self {
            name: Arc::clone(&record.name),
            address: record.address,
            started: record.started,
            slots: record.slots.max(1),
            leaving: record.leaving,
            near: &*record.failure_domain == domain,
            warm_at: listed.read + record.warmup,
            running: Vec::new(),
            load: Load::default(),
            paused_until: now,
            moved: false,
            probed: None,
            unanswered: 0,
            allowance: (1.0, now),
        }
    }

    /// Whether a probe may be sent now, at most `rate` a second.
    pub(super) fn may_probe(&self, now: Timestamp, rate: f64) -> bool {
        let idle = self.probed.is_none_or(|at| now.since(at) > PROBE_TIME);
        idle && self.allowed(now, rate) >= 1.0
    }

    pub(super) fn allowed(&self, now: Timestamp, rate: f64) -> f64 {
        let (saved, at) = self.allowance;
        (saved + now.since(at).as_secs_f64() * rate).min(rate.max(1.0))
    }

    /// Counts a probe that is sent now.
    pub(super) fn probe(&mut self, now: Timestamp, rate: f64) {
        self.allowance = (self.allowed(now, rate) - 1.0, now);
        self.probed = Some(now);
    }

    pub(super) fn update(&mut self, listed: &ListedTarget) {
        let record = &listed.record;
        self.slots = record.slots.max(1);
        self.leaving = record.leaving;
        self.warm_at = listed.read + record.warmup;
    }

    pub(super) fn is_same_process(&self, listed: &ListedTarget) -> bool {
        self.started == listed.record.started && self.address == listed.record.address
    }

    /// Whether calls may go there at all.
    pub(super) fn is_usable(&self) -> bool {
        !self.leaving && !self.moved
    }

    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Puts the target on pause after a failure.
    pub(super) fn failed(&mut self, now: Timestamp, connect: bool) {
        self.load.failed(now);
        let streak = self.load.streak();
        let needed = if connect { 1 } else { BROKEN_IN_A_ROW };
        if streak >= needed {
            let doublings = (streak - needed).min(8);
            self.paused_until = now + (PAUSE.0 * (1 << doublings)).min(PAUSE.1);
        }
    }

    /// Puts the target on a short pause after a probe that was not answered. That is no failure of
    /// a call: this gateway itself may have been too busy to send it or to take the answer in.
    pub(super) fn unanswered(&mut self, now: Timestamp) {
        self.unanswered += 1;
        let doublings = (self.unanswered - 1).min(8);
        let pause = (PROBE_PAUSE.0 * (1 << doublings)).min(PROBE_PAUSE.1);
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// How overdue the oldest call here is, at least 1.
    pub(super) fn overdue(&self, now: Timestamp) -> f64 {
        let ratio = |r: &Running| now.since(r.since).as_secs_f64() / r.expected.max(0.001);
        self.running.iter().map(ratio).fold(1.0, |a, b| a.max(b / 1.5))
    }
}
