//! Queue of waiting calls, ordered by class and caller.
//!
//! Classes are served in strict priority order, with two exceptions: a class with a floor gets that
//! share of slot time first while it has waiting calls, and a class with a starvation limit is
//! served first once most of that time has passed without a start. Within a class, slot time is
//! shared fairly among callers.

use super::{
    calls::TrackedCall,
    config::{ClassConfig, ServiceConfig},
    event::CallId,
    fair_queue::FairQueue,
};
use crate::Timestamp;
use std::{collections::BTreeSet, time::Duration};

/// Fraction of the starvation limit after which a class is served first.
const STARVATION_FRACTION: f64 = 0.7;
/// Lower bound for the share of slots used in wait estimates.
const MIN_SHARE: f64 = 0.01;
/// Number of calls of mean cost for which a class with a floor may accumulate credit. A floor that
/// covers more slots than this may accumulate credit for as many calls as slots.
const FLOOR_BURST: f64 = 4.0;

/// Waiting calls of one class.
#[derive(Debug)]
struct ClassQueue {
    fair: FairQueue,
    floor: f64,
    starvation_limit: Option<Duration>,
    /// Last start of a call of the class, or the time at which its queue became non-empty.
    last_start: Timestamp,
    /// Slot time owed to the class under its floor, in µs. Negative if calls that started under it
    /// took longer than expected.
    credit_us: f64,
    /// Time up to which `credit_us` has been accrued.
    accrued_at: Timestamp,
    /// Expected slot time of the waiting calls, in µs.
    work_us: u64,
}

/// Waiting calls of all classes. Operations take O(classes + log n) time.
#[derive(Debug)]
pub(super) struct Queue {
    classes: Vec<ClassQueue>,
    /// Calls by their latest start.
    expiries: BTreeSet<(Timestamp, CallId)>,
    limit: usize,
    len: usize,
}

impl Queue {
    /// Creates an empty queue for the classes of `config`.
    pub(super) fn new(config: &ServiceConfig) -> Self {
        let fallback = ClassConfig {
            name: "".into(),
            timeout: Duration::ZERO,
            floor: 0.0,
            starvation_limit: None,
        };
        let mut classes: Vec<_> = config.classes.iter().map(ClassQueue::new).collect();
        if classes.is_empty() {
            classes.push(ClassQueue::new(&fallback));
        }
        Self { classes, expiries: BTreeSet::new(), limit: config.queue_limit.max(1), len: 0 }
    }

    /// Returns the number of classes, at least one.
    pub(super) fn classes(&self) -> usize {
        self.classes.len()
    }

    /// Returns the number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether a call must be evicted before another one can be added.
    pub(super) fn is_full(&self) -> bool {
        self.len >= self.limit
    }

    /// Returns the waiting call with the earliest latest start, and that time.
    pub(super) fn earliest_expiry(&self) -> Option<(Timestamp, CallId)> {
        self.expiries.first().copied()
    }

    /// Returns the waiting calls whose latest start is `at` or earlier.
    pub(super) fn expiring_by(&self, at: Timestamp) -> impl Iterator<Item = CallId> + '_ {
        self.expiries.iter().take_while(move |(latest, _)| *latest <= at).map(|(_, id)| *id)
    }

    /// Adds a call that is expected to take `cost` µs.
    pub(super) fn push(&mut self, now: Timestamp, tracked: &mut TrackedCall, cost: u64) {
        let class = &mut self.classes[tracked.class];
        if class.fair.len() == 0 {
            class.last_start = now;
            class.accrued_at = now;
            class.credit_us = class.credit_us.max(0.0);
        }
        tracked.cost_us = cost;
        tracked.flow = class.fair.push(&tracked.call.caller, tracked.seq, tracked.call.id);
        class.work_us += cost;
        self.expiries.insert((tracked.latest_start, tracked.call.id));
        self.len += 1;
    }

    /// Removes a call that will not start.
    pub(super) fn remove(&mut self, tracked: &TrackedCall) {
        self.classes[tracked.class].fair.remove(tracked.flow, tracked.seq);
        self.remove_totals(tracked);
    }

    /// Changes the expected slot time of a waiting call to `cost` µs.
    pub(super) fn set_cost(&mut self, tracked: &mut TrackedCall, cost: u64) {
        let class = &mut self.classes[tracked.class];
        class.work_us = class.work_us.saturating_sub(tracked.cost_us) + cost;
        tracked.cost_us = cost;
    }

    /// Removes a call that starts now.
    pub(super) fn start(&mut self, now: Timestamp, tracked: &mut TrackedCall) {
        let is_higher_waiting = self.classes[..tracked.class].iter().any(|c| c.fair.len() > 0);
        let class = &mut self.classes[tracked.class];
        tracked.by_floor = is_higher_waiting && class.is_floor_due();
        class.fair.start(tracked.flow, tracked.seq, tracked.cost_us);
        class.last_start = now;
        class.withdraw(tracked);
        self.remove_totals(tracked);
    }

    /// Records the end of a call that took `actual` µs.
    pub(super) fn finish(&mut self, tracked: &TrackedCall, actual: u64) {
        let class = &mut self.classes[tracked.class];
        class.fair.finish(tracked.flow, tracked.cost_us, actual);
        class.settle(tracked, actual);
    }

    /// Adds a call that was already running when the configuration changed.
    pub(super) fn add_running(&mut self, tracked: &mut TrackedCall) {
        let class = &mut self.classes[tracked.class];
        (tracked.credit_us, tracked.by_floor) = (0.0, false);
        tracked.flow = class.fair.push(&tracked.call.caller, tracked.seq, tracked.call.id);
        class.fair.start(tracked.flow, tracked.seq, tracked.cost_us);
    }

    /// Returns the call that starts next, given the number of slots that this entry may use.
    pub(super) fn next(&mut self, now: Timestamp, slots: f64) -> Option<CallId> {
        if self.len == 0 {
            return None;
        }
        for class in &mut self.classes {
            class.accrue(now, slots);
        }
        let waiting = || self.classes.iter().filter(|c| c.fair.len() > 0);
        let starving = waiting().find(|c| c.starving_at().is_some_and(|at| at <= now));
        let class = starving
            .or_else(|| waiting().find(|c| c.is_floor_due()))
            .or_else(|| waiting().next())?;
        class.fair.head()
    }

    /// Returns the expected slot time, in µs, of the calls that start before a new call of
    /// `caller` in `class`.
    pub(super) fn work_ahead(&self, class: usize, caller: &str) -> f64 {
        let above: u64 = self.classes[..class].iter().map(|c| c.work_us).sum();
        let own = &self.classes[class];
        let rounds = own.fair.waiting_of(caller) + 1;
        let calls_ahead = own.fair.len().min(rounds * own.fair.active_callers());
        above as f64 + own.mean_cost_us() * calls_ahead as f64
    }

    /// Returns the share of the slots available to `class` once the floors of other classes with
    /// waiting calls are met.
    pub(super) fn share_of(&self, class: usize) -> f64 {
        let others =
            self.classes.iter().enumerate().filter(|(i, c)| *i != class && c.fair.len() > 0);
        let floors: f64 = others.map(|(_, c)| c.floor).sum();
        (1.0 - floors).max(self.classes[class].floor).max(MIN_SHARE)
    }

    /// Returns the call to evict so that a call of `class` by `caller` can wait, or `None` if the
    /// new call should be refused instead.
    ///
    /// Lower classes are evicted from first, down to the part of the queue that is reserved for
    /// them. Next, the caller with the most waiting calls in the same class loses one, if it has at
    /// least two more than `caller`. A class below its own reserved part may evict from higher
    /// classes that exceed theirs.
    pub(super) fn eviction_candidate(&self, class: usize, caller: &str) -> Option<CallId> {
        for lower in self.classes[class + 1..].iter().rev() {
            if lower.fair.len() > lower.reserved(self.limit) {
                return lower.fair.longest().map(|(call, _)| call);
            }
        }
        let own = &self.classes[class];
        let (call, len) = own.fair.longest()?;
        if len > own.fair.waiting_of(caller) + 1 {
            return Some(call);
        }
        if own.fair.len() >= own.reserved(self.limit) {
            return None;
        }
        let above =
            self.classes[..class].iter().rev().find(|c| c.fair.len() > c.reserved(self.limit));
        above.and_then(|c| c.fair.longest()).map(|(call, _)| call)
    }

    /// Removes the call from the totals and from the expiry index.
    fn remove_totals(&mut self, tracked: &TrackedCall) {
        let class = &mut self.classes[tracked.class];
        class.work_us = class.work_us.saturating_sub(tracked.cost_us);
        self.expiries.remove(&(tracked.latest_start, tracked.call.id));
        self.len = self.len.saturating_sub(1);
    }
}

impl ClassQueue {
    fn new(config: &ClassConfig) -> Self {
        let floor = if config.floor.is_finite() { config.floor.clamp(0.0, 1.0) } else { 0.0 };
        Self {
            fair: FairQueue::default(),
            floor,
            starvation_limit: config.starvation_limit,
            last_start: Timestamp::default(),
            credit_us: 0.0,
            accrued_at: Timestamp::default(),
            work_us: 0,
        }
    }

    /// Returns the number of waiting calls of the class that other classes cannot evict from a
    /// queue of `limit` calls.
    fn reserved(&self, limit: usize) -> usize {
        let least = usize::from(self.floor > 0.0 || self.starvation_limit.is_some());
        ((limit as f64 * self.floor) as usize).max(least)
    }

    /// Returns the mean expected slot time of the waiting calls, in µs.
    fn mean_cost_us(&self) -> f64 {
        self.work_us as f64 / self.fair.len().max(1) as f64
    }

    /// Returns when the class is to be served first to meet its starvation limit, if it has one.
    fn starving_at(&self) -> Option<Timestamp> {
        let limit = self.starvation_limit.filter(|_| self.fair.len() > 0)?;
        Some(self.last_start + limit.mul_f64(STARVATION_FRACTION))
    }

    /// Adds the credit earned under the floor since the last update.
    fn accrue(&mut self, now: Timestamp, slots: f64) {
        let elapsed_us = now.since(self.accrued_at).as_micros() as f64;
        self.accrued_at = self.accrued_at.max(now);
        if self.fair.len() == 0 || self.floor == 0.0 {
            return;
        }
        let max_credit_us = self.mean_cost_us() * FLOOR_BURST.max(slots * self.floor);
        self.credit_us = (self.credit_us + elapsed_us * slots * self.floor).min(max_credit_us);
    }

    /// Takes the expected cost of a call that starts from the credit. A call that starts in the
    /// order of the classes uses up credit, but no more than there is.
    fn withdraw(&mut self, tracked: &mut TrackedCall) {
        let cost_us = tracked.cost_us as f64;
        let available_us = self.credit_us.max(0.0);
        tracked.credit_us = if tracked.by_floor { cost_us } else { cost_us.min(available_us) };
        self.credit_us -= tracked.credit_us;
    }

    /// Corrects what the start of a call took from the credit once the call has ended after `actual`
    /// µs.
    fn settle(&mut self, tracked: &TrackedCall, actual: u64) {
        let excess_us = tracked.credit_us - actual as f64;
        self.credit_us += if tracked.by_floor { excess_us } else { excess_us.max(0.0) };
    }

    /// Returns whether the credit pays for a call of mean cost.
    fn is_floor_due(&self) -> bool {
        self.floor > 0.0 && self.credit_us >= self.mean_cost_us()
    }
}
