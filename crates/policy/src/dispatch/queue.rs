//! Calls that wait at the entry, in the order of the preset.
//!
//! Classes come in strict order, except that a class with a floor gets its share of slot time
//! first while its calls wait, and a class with a `still` bound comes first before the bound
//! passes. Within a class the callers share fairly.

use super::{
    calls::Entry,
    config::{ClassConfig, ServiceConfig},
    event::CallId,
    fair::FairQueue,
};
use crate::Timestamp;
use std::{collections::BTreeSet, time::Duration};

/// Part of the `still` bound after which a class comes first.
const STILL_PART: f64 = 0.7;
/// Least share of the slots reckoned with.
const MIN_SHARE: f64 = 0.01;
/// Calls of mean cost that a floor may save up.
const FLOOR_BURST: f64 = 4.0;

/// Waiting calls of one class.
#[derive(Debug)]
struct ClassQueue {
    fair: FairQueue,
    floor: f64,
    still: Option<Duration>,
    /// Since when calls have waited without a start.
    since: Timestamp,
    /// Slot time due to the class under its floor, in µs.
    credit: f64,
    credit_at: Timestamp,
    /// Expected slot time of the waiting calls, in µs.
    work: u64,
}

/// Waiting calls of all classes. All operations take O(classes + log n).
#[derive(Debug)]
pub(super) struct Queue {
    classes: Vec<ClassQueue>,
    expiries: BTreeSet<(Timestamp, CallId)>,
    limit: usize,
    len: usize,
}

impl Queue {
    /// An empty queue for the classes of `plan`.
    pub(super) fn new(plan: &ServiceConfig) -> Self {
        let none = ClassConfig {
            name: "".into(),
            timeout: Duration::ZERO,
            floor: 0.0,
            starvation_limit: None,
        };
        let mut classes: Vec<_> = plan.classes.iter().map(ClassQueue::new).collect();
        if classes.is_empty() {
            classes.push(ClassQueue::new(&none));
        }
        Self { classes, expiries: BTreeSet::new(), limit: plan.queue_limit.max(1), len: 0 }
    }

    /// Number of classes, at least one.
    pub(super) fn classes(&self) -> usize {
        self.classes.len()
    }

    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Whether a further call needs another one to go.
    pub(super) fn is_full(&self) -> bool {
        self.len >= self.limit
    }

    /// The waiting call that is too late to start first, and when that is.
    pub(super) fn earliest_expiry(&self) -> Option<(Timestamp, CallId)> {
        self.expiries.first().copied()
    }

    /// Adds a call that is expected to take `cost` µs.
    pub(super) fn push(&mut self, now: Timestamp, entry: &mut Entry, cost: u64) {
        let class = &mut self.classes[entry.class];
        if class.fair.len() == 0 {
            class.since = now;
            class.credit_at = now;
        }
        entry.cost = cost;
        entry.flow = class.fair.push(&entry.call.caller, entry.seq, entry.call.id);
        class.work += cost;
        self.expiries.insert((entry.latest, entry.call.id));
        self.len += 1;
    }

    /// Takes out a call that will not start.
    pub(super) fn remove(&mut self, entry: &Entry) {
        self.classes[entry.class].fair.remove(entry.flow, entry.seq);
        self.forget(entry);
    }

    /// Takes out a call that starts now.
    pub(super) fn start(&mut self, now: Timestamp, entry: &Entry) {
        let class = &mut self.classes[entry.class];
        class.fair.start(entry.flow, entry.seq, entry.cost);
        class.since = now;
        class.credit = (class.credit - entry.cost as f64).max(0.0);
        self.forget(entry);
    }

    /// Ends the run of a call that took `actual` µs.
    pub(super) fn finish(&mut self, entry: &Entry, actual: u64) {
        self.classes[entry.class].fair.finish(entry.flow, entry.cost, actual);
    }

    /// Counts a call that started under earlier settings as running in its class.
    pub(super) fn adopt(&mut self, entry: &mut Entry) {
        let class = &mut self.classes[entry.class];
        entry.flow = class.fair.push(&entry.call.caller, entry.seq, entry.call.id);
        class.fair.start(entry.flow, entry.seq, entry.cost);
    }

    /// The call that starts next, given the slots in use by this entry.
    pub(super) fn next(&mut self, now: Timestamp, slots: f64) -> Option<CallId> {
        if self.len == 0 {
            return None;
        }
        for class in &mut self.classes {
            class.accrue(now, slots);
        }
        let waiting = || self.classes.iter().filter(|c| c.fair.len() > 0);
        let still = waiting().find(|c| c.still_at().is_some_and(|at| at <= now));
        let class = still
            .or_else(|| waiting().find(|c| c.is_below_floor()))
            .or_else(|| waiting().next())?;
        class.fair.head()
    }

    /// Expected slot time, in µs, of the calls that start before a new call of `caller`.
    pub(super) fn work_before(&self, class: usize, caller: &str) -> f64 {
        let above: u64 = self.classes[..class].iter().map(|c| c.work).sum();
        let own = &self.classes[class];
        let turns = own.fair.waiting_of(caller) + 1;
        let ahead = own.fair.len().min(turns * own.fair.active_callers());
        above as f64 + own.mean_cost() * ahead as f64
    }

    /// Share of the slots that `class` gets while the floors of other waiting classes hold.
    pub(super) fn share_of(&self, class: usize) -> f64 {
        let others =
            self.classes.iter().enumerate().filter(|(i, c)| *i != class && c.fair.len() > 0);
        let floors: f64 = others.map(|(_, c)| c.floor).sum();
        (1.0 - floors).max(self.classes[class].floor).max(MIN_SHARE)
    }

    /// The call to evict so that a call of `class` by `caller` may wait, if any should go.
    ///
    /// Lower classes go first, down to the part of the queue that their floor keeps for them;
    /// within the class it is the caller with the most waiting calls that loses one.
    pub(super) fn victim(&self, class: usize, caller: &str) -> Option<CallId> {
        for lower in self.classes[class + 1..].iter().rev() {
            if lower.fair.len() > lower.kept(self.limit) {
                return lower.fair.longest().map(|(call, _)| call);
            }
        }
        let own = &self.classes[class];
        let (call, len) = own.fair.longest()?;
        if len > own.fair.waiting_of(caller) + 1 {
            return Some(call);
        }
        if own.fair.len() >= own.kept(self.limit) {
            return None;
        }
        let above = self.classes[..class].iter().rev().find(|c| c.fair.len() > c.kept(self.limit));
        above.and_then(|c| c.fair.longest()).map(|(call, _)| call)
    }

    fn forget(&mut self, entry: &Entry) {
        let class = &mut self.classes[entry.class];
        class.work = class.work.saturating_sub(entry.cost);
        self.expiries.remove(&(entry.latest, entry.call.id));
        self.len = self.len.saturating_sub(1);
    }
}

impl ClassQueue {
    fn new(plan: &ClassConfig) -> Self {
        let floor = if plan.floor.is_finite() { plan.floor.clamp(0.0, 1.0) } else { 0.0 };
        Self {
            fair: FairQueue::default(),
            floor,
            still: plan.starvation_limit,
            since: Timestamp::default(),
            credit: 0.0,
            credit_at: Timestamp::default(),
            work: 0,
        }
    }

    /// Calls of the class that others do not push out of a queue of `limit` calls.
    fn kept(&self, limit: usize) -> usize {
        let least = usize::from(self.floor > 0.0 || self.still.is_some());
        ((limit as f64 * self.floor) as usize).max(least)
    }

    fn mean_cost(&self) -> f64 {
        self.work as f64 / self.fair.len().max(1) as f64
    }

    fn still_at(&self) -> Option<Timestamp> {
        let still = self.still.filter(|_| self.fair.len() > 0)?;
        Some(self.since + still.mul_f64(STILL_PART))
    }

    fn accrue(&mut self, now: Timestamp, slots: f64) {
        let us = now.since(self.credit_at).as_micros() as f64;
        self.credit_at = self.credit_at.max(now);
        if self.fair.len() == 0 || self.floor == 0.0 {
            return;
        }
        let most = self.mean_cost() * FLOOR_BURST.max(slots * self.floor);
        self.credit = (self.credit + us * slots * self.floor).min(most);
    }

    fn is_below_floor(&self) -> bool {
        self.floor > 0.0 && self.credit >= self.mean_cost()
    }
}
