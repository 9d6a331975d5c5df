//! Calls of one service that wait for a slot, in the order in which they start.
//!
//! Calls that can still meet their objective go first, then priority and objective decide. Whether a
//! call can meet its objective depends on the time and on the time that its route needs, and all calls
//! of a route share both. So the waiting calls of each route are sorted by objective, and the late ones
//! among them are those before a certain objective. Nothing has to be sorted again as time passes.

use super::{admission::CallSeconds, call::Call, routes::Route};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{cmp::Ordering, collections::BTreeSet, ops::Bound, sync::Arc, time::Duration};

/// What the order depends on beside the objective, alike for all calls of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RouteKey {
    name: Arc<str>,
    priority: u32,
    timeout: Duration,
}

/// Waiting calls of one route.
#[derive(Clone, Debug)]
struct RouteQueue {
    route: Arc<Route>,
    by_objective: BTreeSet<(Timestamp, u64)>,
    by_deadline: BTreeSet<(Timestamp, u64)>,
}

/// Place of a call in the order: whether it will miss its objective, its priority and its objective.
/// Lower ranks start first.
pub(super) type QueueRank = (bool, u32, Timestamp);

/// Waiting calls of one service.
///
/// The methods that depend on service times take a function that returns the time that a call of a route
/// needs. The order depends on the time that is safe; work is counted at an idle target.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    routes: IndexMap<RouteKey, RouteQueue>,
    len: usize,
}

impl WaitQueue {
    /// Returns the number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a call.
    pub(super) fn insert(&mut self, call: &Call) {
        let queue = self.routes.entry(key(&call.route)).or_insert_with(|| RouteQueue {
            route: Arc::clone(&call.route),
            by_objective: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
        });
        self.len += usize::from(queue.by_objective.insert((call.objective, call.id)));
        queue.by_deadline.insert((call.deadline, call.id));
    }

    /// Removes a call, if it waits.
    pub(super) fn remove(&mut self, call: &Call) {
        let key = key(&call.route);
        let Some(queue) = self.routes.get_mut(&key) else { return };
        self.len -= usize::from(queue.by_objective.remove(&(call.objective, call.id)));
        queue.by_deadline.remove(&(call.deadline, call.id));
        if queue.by_objective.is_empty() {
            self.routes.swap_remove(&key);
        }
    }

    /// Returns the calls that can no longer be answered before their deadline.
    pub(super) fn overdue<Seconds>(&self, now: Timestamp, seconds: Seconds) -> Vec<u64>
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        let queues = self.routes.values();
        queues
            .flat_map(|queue| {
                let limit = earliest_end(now, seconds(&queue.route).base);
                queue.by_deadline.range(..(limit, 0)).map(|(_, id)| *id)
            })
            .collect()
    }

    /// Returns the waiting calls in the order in which they start.
    pub(super) fn in_order<Seconds>(
        &self,
        now: Timestamp,
        seconds: Seconds,
    ) -> impl Iterator<Item = u64>
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        let mut runs = Vec::new();
        for (key, queue) in &self.routes {
            let limit = (earliest_end(now, seconds(&queue.route).safe), 0);
            let (in_time, late) = (Bound::Included(limit), Bound::Excluded(limit));
            let in_time = queue.by_objective.range((in_time, Bound::Unbounded));
            let late = queue.by_objective.range((Bound::Unbounded, late));
            runs.push((false, key.priority, in_time.peekable()));
            runs.push((true, key.priority, late.peekable()));
        }
        std::iter::from_fn(move || {
            let heads = runs.iter_mut().filter_map(|(late, priority, calls)| {
                let (objective, id) = **calls.peek()?;
                Some(((*late, *priority, objective, id), calls))
            });
            let (_, first) = heads.min_by_key(|(rank, _)| *rank)?;
            first.next().map(|(_, id)| *id)
        })
    }

    /// Returns whether a late call waits.
    pub(super) fn has_late<Seconds>(&self, now: Timestamp, seconds: Seconds) -> bool
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        self.routes.values().any(|queue| {
            let first = queue.by_objective.first();
            first.is_some_and(|(objective, _)| seconds(&queue.route).is_late(now, *objective))
        })
    }

    /// Returns the number of waiting calls that are not late.
    pub(super) fn in_time_count<Seconds>(&self, now: Timestamp, seconds: Seconds) -> usize
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        let counts = self.routes.values().map(|queue| {
            let limit = earliest_end(now, seconds(&queue.route).safe);
            count_between(&queue.by_objective, limit, Timestamp::MAX)
        });
        counts.sum()
    }

    /// Returns the late waiting calls in the order in which they start.
    pub(super) fn late_in_order<Seconds>(
        &self,
        now: Timestamp,
        seconds: Seconds,
    ) -> impl Iterator<Item = u64>
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        let in_time = self.in_time_count(now, &seconds);
        self.in_order(now, seconds).skip(in_time)
    }

    /// Returns the rank of the call among the waiting ones.
    pub(super) fn rank(now: Timestamp, call: &Call, seconds: CallSeconds) -> QueueRank {
        (seconds.is_late(now, call.objective), call.route.priority, call.objective)
    }

    /// Returns the routes of the waiting calls, each with its expected seconds and the number of its calls
    /// that rank before `rank`.
    pub(super) fn counts_before<Seconds>(
        &self,
        now: Timestamp,
        rank: QueueRank,
        seconds: Seconds,
    ) -> impl Iterator<Item = (f64, usize)>
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        let (own_late, own_priority, own_objective) = rank;
        self.routes.iter().map(move |(key, queue)| {
            let CallSeconds { base, safe } = seconds(&queue.route);
            let limit = earliest_end(now, safe);
            // Of the calls that are as late as this one, those of a more urgent route or with an earlier
            // objective rank before it.
            let end = match key.priority.cmp(&own_priority) {
                Ordering::Less => Timestamp::MAX,
                Ordering::Equal => own_objective,
                Ordering::Greater => Timestamp::default(),
            };
            let count = match own_late {
                false => count_between(&queue.by_objective, limit, end),
                true => {
                    let in_time = count_between(&queue.by_objective, limit, Timestamp::MAX);
                    in_time
                        + count_between(&queue.by_objective, Timestamp::default(), end.min(limit))
                }
            };
            (base, count)
        })
    }

    /// Returns the expected seconds of all waiting calls together.
    pub(super) fn total_seconds<Seconds>(&self, seconds: Seconds) -> f64
    where
        Seconds: Fn(&Route) -> CallSeconds,
    {
        self.routes.values().map(|q| seconds(&q.route).base * q.by_objective.len() as f64).sum()
    }
}

fn key(route: &Route) -> RouteKey {
    let Route { name, priority, timeout, .. } = route;
    RouteKey { name: Arc::clone(name), priority: *priority, timeout: *timeout }
}

/// Returns when a call of `seconds` that starts now ends.
fn earliest_end(now: Timestamp, seconds: f64) -> Timestamp {
    now + Duration::from_secs_f64(seconds)
}

/// Counts the calls with a time from `start` to before `end`.
fn count_between(calls: &BTreeSet<(Timestamp, u64)>, start: Timestamp, end: Timestamp) -> usize {
    if start >= end { 0 } else { calls.range((start, 0)..(end, 0)).count() }
}
