//! What the entry knows about one target.

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

/// State of one target as this entry sees it.
#[derive(Debug)]
pub(super) struct Target {
    /// What the host list tells.
    pub(super) info: TargetInfo,
    /// Slots that this entry may use.
    pub(super) owned_slots: u32,
    /// Calls of this entry in flight.
    pub(super) in_flight: u32,
    /// How slow the target is.
    pub(super) slowness: SlownessEstimate,
    /// Concurrency limit.
    pub(super) limit: ConcurrencyLimit,
    /// Circuit breaker.
    pub(super) breaker: Breaker,
    /// Whether the target itself told that it drains.
    pub(super) draining: bool,
    /// Whether the host list no longer has the target.
    pub(super) removed: bool,
    /// Last load report.
    pub(super) report: Option<LoadReport>,
    /// When the target last answered or refused anything.
    pub(super) last_heard: Timestamp,
}

impl Target {
    /// A target that has just become known.
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

    /// Whether new calls may ever go there as things stand.
    pub(super) fn is_active(&self) -> bool {
        !self.removed && !self.draining && !self.info.leaving
    }

    /// Whether calls pass: it stays and its breaker is closed.
    pub(super) fn is_usable(&self) -> bool {
        self.is_active() && self.breaker.is_closed()
    }

    /// Whether a trial call is due.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.is_active()
            && self.owned_slots > 0
            && self.in_flight == 0
            && self.breaker.permit(now) == Permit::Trial
    }

    /// Calls that may be in flight there now.
    pub(super) fn capacity(&self, now: Timestamp) -> u32 {
        if self.is_usable() { self.owned_slots.min(self.limit.allowed(now)) } else { 0 }
    }

    /// Calls that could be in flight there if no pause were in force.
    pub(super) fn unpaused_capacity(&self) -> u32 {
        if self.is_usable() { self.owned_slots.min(self.limit.allowed(Timestamp::MAX)) } else { 0 }
    }

    /// Calls that may start there now.
    pub(super) fn free_slots(&self, now: Timestamp) -> u32 {
        self.capacity(now).saturating_sub(self.in_flight)
    }

    /// Takes in a load report.
    pub(super) fn record_report(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report {
            self.draining |= report.draining;
            self.report = Some(report);
        }
    }

    /// Starts over as cold, as after a restart.
    pub(super) fn reset_cold(&mut self, now: Timestamp) {
        self.limit = ConcurrencyLimit::cold(now);
        self.slowness.reset(now);
        self.draining = false;
        self.report = None;
    }
}
