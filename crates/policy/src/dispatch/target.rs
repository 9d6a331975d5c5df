//! State of targets, as seen by this entry.

use super::{
    breaker::{Breaker, Permit},
    config::TargetInfo,
    event::LoadReport,
    limit::ConcurrencyLimit,
    rest::Rest,
    slowness::SlownessEstimate,
};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Time for which the mark of a draining target is kept while the host list lacks the target.
const DRAINING_MEMORY: Duration = Duration::from_secs(600);

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
    /// Rest that the target asked for.
    pub(super) rest: Rest,
    /// Whether the target itself reported that it is draining.
    pub(super) draining: bool,
    /// Incarnation that reported it, if known.
    pub(super) drained: Option<Arc<str>>,
    /// Whether the target was removed from the host list.
    pub(super) removed: bool,
    /// When the target was last listed.
    pub(super) listed_at: Timestamp,
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
            rest: Rest::default(),
            draining: false,
            drained: None,
            removed: false,
            listed_at: now,
            report: None,
            last_heard: now,
        }
    }

    /// Returns whether the target is listed and neither leaving nor draining.
    pub(super) fn is_active(&self) -> bool {
        !self.removed && !self.draining && !self.info.is_leaving()
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
            && !self.rest.is_resting(now)
            && self.breaker.permit(now) == Permit::Trial
    }

    /// Returns the number of calls that may be in flight at the target at `now`.
    pub(super) fn capacity(&self, now: Timestamp) -> u32 {
        self.unpaused_capacity(now).min(self.limit.allowed(now))
    }

    /// Returns the number of calls that could be in flight at `now` if no pause after a refusal were
    /// in force.
    pub(super) fn unpaused_capacity(&self, now: Timestamp) -> u32 {
        if !self.is_usable() {
            return 0;
        }
        self.owned_slots.min(self.limit.allowed(Timestamp::MAX)).min(self.rest.allowed(now))
    }

    /// Returns when the target may get the next call, as far as that is known.
    pub(super) fn available_at(&self, now: Timestamp) -> Timestamp {
        let trial = self.breaker.trial_at().unwrap_or(now);
        let rested = self.rest.until(now).unwrap_or(now);
        trial.max(self.limit.paused_until()).max(rested).max(now)
    }

    /// Returns whether the state has to be kept although the host list lacks the target.
    pub(super) fn is_kept(&self, now: Timestamp) -> bool {
        let is_remembered = self.draining && now.since(self.listed_at) < DRAINING_MEMORY;
        self.in_flight > 0 || self.rest.is_resting(now) || is_remembered
    }

    /// Returns the number of calls that may start at `now`.
    pub(super) fn free_slots(&self, now: Timestamp) -> u32 {
        self.capacity(now).saturating_sub(self.in_flight)
    }

    /// Applies a new entry of the host list. A list that lags names an earlier incarnation, so only a
    /// change between two lists proves that another one has started.
    pub(super) fn update_info(&mut self, info: TargetInfo) {
        if let Some(incarnation) = &info.incarnation
            && self.info.incarnation.as_ref().is_some_and(|old| old != incarnation)
        {
            let incarnation = Arc::clone(incarnation);
            self.record_incarnation(&incarnation);
            if self.drained.is_none() {
                self.draining = false;
            }
        }
        self.info = info;
    }

    /// Clears what another incarnation than `incarnation` said about itself.
    pub(super) fn record_incarnation(&mut self, incarnation: &str) {
        self.rest.record_incarnation(incarnation);
        if self.drained.as_deref().is_some_and(|d| d != incarnation) {
            self.draining = false;
            self.drained = None;
        }
    }

    /// Records that `incarnation` is draining, which is final for it.
    pub(super) fn record_draining(&mut self, incarnation: Option<Arc<str>>) {
        self.draining = true;
        self.drained = incarnation.or(self.drained.take());
    }

    /// Records a probe. A target whose incarnation is not known may have been replaced by one that
    /// serves.
    pub(super) fn record_probe(&mut self, now: Timestamp, report: LoadReport) {
        self.last_heard = now;
        if report.draining || self.drained.is_none() {
            self.draining = report.draining;
        }
        self.report = Some(report);
    }

    /// Records a load report.
    pub(super) fn record_report(&mut self, report: Option<LoadReport>) {
        if let Some(report) = report {
            self.draining |= report.draining;
            self.report = Some(report);
        }
    }

    /// Resets the estimates to those of a cold target, for example after it restarted.
    pub(super) fn reset_cold(&mut self, now: Timestamp) {
        self.limit = ConcurrencyLimit::cold(now);
        self.slowness.reset(now);
        self.report = None;
    }
}
