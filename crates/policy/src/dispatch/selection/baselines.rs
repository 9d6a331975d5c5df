//! Baseline algorithms that bind a call to a target as soon as it arrives.

use super::{SelectTarget, Selection, SelectionContext, lowest};
use crate::dispatch::target::Target;
use rand::{Rng, RngExt};

/// Selects a target uniformly at random.
#[derive(Debug)]
pub(crate) struct RandomTarget;

/// Selects the targets in turn.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    next: usize,
}

/// Selects the target with the fewest calls of this entry in flight.
#[derive(Debug)]
pub(crate) struct LeastInFlight;

/// Selects the less loaded of two random targets (Mitzenmacher, 2001).
#[derive(Debug)]
pub(crate) struct PowerOfTwo;

/// Prefers targets below their concurrency limit, and among them the one with the lowest slowness.
/// If there are none, selects the target with the lowest load.
#[derive(Debug)]
pub(crate) struct HotCold;

/// Selects a random target with fewer calls of this entry in flight than slots. A refused call is
/// sent to another one.
#[derive(Debug)]
pub(crate) struct TryAndRefuse;

/// Selects a random target below its concurrency limit, by the calls of this entry in flight and by
/// the slots in use in its last report; without a report, a target counts as busy. If all targets
/// are busy, selects a random one.
#[derive(Debug)]
pub(crate) struct IdleSlots;

impl SelectTarget for RandomTarget {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        selection(lowest(candidates(context).map(|(i, _)| (i, ())), random))
    }
}

impl SelectTarget for RoundRobin {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, _random: &mut R) -> Selection
    where
        R: Rng,
    {
        let next = self.next;
        let later = candidates(context).find(|(i, _)| *i >= next);
        let Some((index, _)) = later.or_else(|| candidates(context).next()) else {
            return Selection::UNAVAILABLE;
        };
        self.next = index + 1;
        selection(Some(index))
    }
}

impl SelectTarget for LeastInFlight {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        selection(lowest(candidates(context).map(|(i, t)| (i, t.in_flight)), random))
    }
}

impl SelectTarget for PowerOfTwo {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        let count = candidates(context).count();
        if count == 0 {
            return Selection::UNAVAILABLE;
        }
        let first = random.random_range(0..count);
        let second = (first + random.random_range(0..count.max(2) - 1) + 1) % count;
        let two = candidates(context).enumerate().filter(|(n, _)| *n == first || *n == second);
        selection(lowest(two.map(|(_, (i, t))| (i, t.in_flight)), random))
    }
}

impl SelectTarget for HotCold {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        let key = |t: &Target| {
            let load = t.in_flight.max(t.report.map_or(0, |r| r.busy));
            if load < t.limit.allowed(context.now) {
                (0, t.slowness.current(context.now, context.decay_us))
            } else {
                (1, f64::from(load))
            }
        };
        selection(lowest(candidates(context).map(|(i, t)| (i, key(t))), random))
    }
}

impl SelectTarget for TryAndRefuse {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        let free = candidates(context).filter(|(_, t)| t.in_flight < t.info.slots);
        selection(lowest(free.map(|(i, _)| (i, ())), random))
    }
}

impl SelectTarget for IdleSlots {
    const LATE_BINDING: bool = false;

    fn select<R>(&mut self, context: &SelectionContext<'_>, random: &mut R) -> Selection
    where
        R: Rng,
    {
        let is_busy = |t: &Target| {
            let limit = t.limit.allowed(context.now);
            t.in_flight >= limit || t.report.is_none_or(|r| r.busy >= limit)
        };
        selection(lowest(candidates(context).map(|(i, t)| (i, is_busy(t))), random))
    }
}

/// Returns the targets that may get the call, with their indices.
fn candidates<'a>(context: &'a SelectionContext<'_>) -> impl Iterator<Item = (usize, &'a Target)> {
    let accepts_calls = |t: &Target| {
        t.is_usable()
            && t.limit.paused_until() <= context.now
            && t.rest.allowed(context.now) > t.in_flight
    };
    let is_eligible = move |t: &Target| {
        (accepts_calls(t) || t.is_trial_due(context.now)) && !context.has_tried(t)
    };
    context.targets.values().enumerate().filter(move |(_, t)| is_eligible(t))
}

fn selection(index: Option<usize>) -> Selection {
    index.map_or(Selection::UNAVAILABLE, |index| Selection::Target { index, expected_us: f64::NAN })
}
