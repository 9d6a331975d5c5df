//! State of targets, as seen by this entry.

use super::{
    breaker::{Breaker, Permit},
    config::TargetInfo,
    event::LoadReport,
    limit::ConcurrencyLimit,
    slowness::SlownessEstimate,
};
use crate::Timestamp;
use indexmap::IndexMap;
use std::sync::Arc;

/// The targets of a service by name.
pub(super) type Targets = IndexMap<Arc<str>, Target>;

/// State of one target, as seen by this entry.
#[derive(Debug)]
pub(super) struct Target {
    /// The target as given in the host list.
    pub(super) info: TargetInfo,
    /// Number of slots that this entry may use.
    pub(super) owned_slots: u32,
    /// Number of calls of this entry in flight.
    pub(super) in_flight: u32,
    /// Estimate of how slow the target is.
    pub(super) slowness: SlownessEstimate,
    /// Concurrency limit.
    pub(super) limit: ConcurrencyLimit,
    /// Circuit breaker.
    pub(super) breaker: Breaker,
    /// Whether the target itself reported that it is draining.
    pub(super) draining: bool,
    /// Whether the target was removed from the host list.
    pub(super) removed: bool,
    /// Last load report.
    pub(super) report: Option<LoadReport>,
    /// When the target last answered, refused a call or was probed.
    pub(super) last_heard: Timestamp,
}

impl Target {
    /// Creates the state of a new target. A cold target starts with a concurrency limit of one.
    pub(super) fn new(info: TargetInfo, now: Timestamp, cold: bool) -> Self {
        let limit =
            if cold { ConcurrencyLimit::cold(now) } else { ConcurrencyLimit::warm(info.slots) };
        Self {
            owned_slots: info.slots,
            info,
            in_flight: 0,
            slowness: SlownessEstimate::default(),
            limit,
            breaker: Breaker::new(),
            draining: false,
            removed: false,
            report: None,
            last_heard: now,
        }
    }

    /// Returns whether the target is listed and neither leaving nor draining.
    pub(super) fn is_active(&self) -> bool {
        !self.removed && !self.draining && !self.info.leaving
    }

    /// Returns whether the target is active and its breaker is closed.
    pub(super) fn is_usable(&self) -> bool {
        self.is_active() && self.breaker.is_closed()
    }

    /// Returns whether the target may get a trial call.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.is_active()
            && self.owned_slots > 0
            && self.in_flight == 0
            && self.breaker.permit(now) == Permit::Trial
    }

    /// Returns the number of calls that may be in flight at the target at `now`.
    pub(super) fn capacity(&self, now: Timestamp) -> u32 {
        if self.is_usable() { self.owned_slots.min(self.limit.allowed(now)) } else { 0 }
    }

    /// Returns the number of calls that could be in flight if no pause were in force.
    pub(super) fn unpaused_capacity(&self) -> u32 {
        if self.is_usable() { self.owned_slots.min(self.limit.allowed(Timestamp::MAX)) } else { 0 }
    }

    /// Returns the number of calls that may start at `now`.
    pub(super) fn free_slots(&self, now: Timestamp) -> u32 {
        self.capacity(now).saturating_sub(self.in_flight)
    }

    /// Records a load report.
    pub(super) fn record_report(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report {
            self.draining |= report.draining;
            self.report = Some(report);
        }
    }

    /// Resets the state to that of a cold target, for example after it restarted.
    pub(super) fn reset_cold(&mut self, now: Timestamp) {
        self.limit = ConcurrencyLimit::cold(now);
        self.slowness.reset(now);
        self.draining = false;
        self.report = None;
    }
}
