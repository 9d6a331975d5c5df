//! What the entry knows about one target.

use super::{
    breaker::{Breaker, Passage},
    config::TargetInfo,
    event::LoadReport,
    limit::Limit,
    speed::Speed,
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
    pub(super) plan: TargetInfo,
    /// Slots that this entry may use.
    pub(super) own: u32,
    /// Calls of this entry in flight.
    pub(super) in_flight: u32,
    /// How slow the target is.
    pub(super) speed: Speed,
    /// Concurrency limit.
    pub(super) limit: Limit,
    /// Circuit breaker.
    pub(super) breaker: Breaker,
    /// Whether the target itself told that it drains.
    pub(super) draining: bool,
    /// Whether the host list no longer has the target.
    pub(super) gone: bool,
    /// Last load report.
    pub(super) report: Option<LoadReport>,
    /// When the target last answered or refused anything.
    pub(super) heard: Timestamp,
}

impl Target {
    /// A target that has just become known.
    pub(super) fn new(plan: TargetInfo, now: Timestamp, cold: bool) -> Self {
        let limit = if cold { Limit::cold(now) } else { Limit::warm(plan.slots) };
        Self {
            own: plan.slots,
            plan,
            in_flight: 0,
            speed: Speed::default(),
            limit,
            breaker: Breaker::new(),
            draining: false,
            gone: false,
            report: None,
            heard: now,
        }
    }

    /// Whether new calls may ever go there as things stand.
    pub(super) fn is_staying(&self) -> bool {
        !self.gone && !self.draining && !self.plan.leaving
    }

    /// Whether calls pass: it stays and its breaker is closed.
    pub(super) fn is_usable(&self) -> bool {
        self.is_staying() && self.breaker.is_closed()
    }

    /// Whether a trial call is due.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.is_staying()
            && self.own > 0
            && self.in_flight == 0
            && self.breaker.passage(now) == Passage::Trial
    }

    /// Calls that may be in flight there now.
    pub(super) fn capacity(&self, now: Timestamp) -> u32 {
        if self.is_usable() { self.own.min(self.limit.calls(now)) } else { 0 }
    }

    /// Calls that could be in flight there if no pause were in force.
    pub(super) fn usual_capacity(&self) -> u32 {
        if self.is_usable() { self.own.min(self.limit.calls(Timestamp::MAX)) } else { 0 }
    }

    /// Calls that may start there now.
    pub(super) fn free(&self, now: Timestamp) -> u32 {
        self.capacity(now).saturating_sub(self.in_flight)
    }

    /// Takes in a load report.
    pub(super) fn reported(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report {
            self.draining |= report.draining;
            self.report = Some(report);
        }
    }

    /// Starts over as cold, as after a restart.
    pub(super) fn cool(&mut self, now: Timestamp) {
        self.limit = Limit::cold(now);
        self.speed.forget(now);
        self.draining = false;
        self.report = None;
    }
}
