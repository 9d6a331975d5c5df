//! Ways of choosing that bind a call to a target as soon as it arrives.

use super::{Choose, Pick, View, lowest};
use crate::dispatch::target::Target;
use rand::{Rng, RngExt};

/// Any target, evenly at random.
#[derive(Debug)]
pub(crate) struct RandomTarget;

/// Each target in turn.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    next: usize,
}

/// The target with the fewest calls of this entry in flight.
#[derive(Debug)]
pub(crate) struct LeastInFlight;

/// The less loaded of two random targets (Mitzenmacher, 2001).
#[derive(Debug)]
pub(crate) struct PowerOfTwo;

/// Targets below their slots come first, then recent latency counts; with none below, the
/// in-flight count.
#[derive(Debug)]
pub(crate) struct HotCold;

/// Any target with a slot believed free; the next one after a refusal.
#[derive(Debug)]
pub(crate) struct TryAndRefuse;

/// Targets that last reported an idle slot, else a random one.
#[derive(Debug)]
pub(crate) struct IdleSlots;

impl Choose for RandomTarget {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        pick(lowest(candidates(view).map(|(i, _)| (i, ())), random))
    }
}

impl Choose for RoundRobin {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, _random: &mut R) -> Pick
    where
        R: Rng,
    {
        let next = self.next;
        let later = candidates(view).find(|(i, _)| *i >= next);
        let Some((index, _)) = later.or_else(|| candidates(view).next()) else {
            return Pick::NOTHING;
        };
        self.next = index + 1;
        pick(Some(index))
    }
}

impl Choose for LeastInFlight {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        pick(lowest(candidates(view).map(|(i, t)| (i, t.in_flight)), random))
    }
}

impl Choose for PowerOfTwo {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        let count = candidates(view).count();
        if count == 0 {
            return Pick::NOTHING;
        }
        let first = random.random_range(0..count);
        let second = (first + random.random_range(0..count.max(2) - 1) + 1) % count;
        let two = candidates(view).enumerate().filter(|(n, _)| *n == first || *n == second);
        pick(lowest(two.map(|(_, (i, t))| (i, t.in_flight)), random))
    }
}

impl Choose for HotCold {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        let key = |t: &Target| {
            let load = t.in_flight.max(t.report.map_or(0, |r| r.busy));
            if load < t.limit.calls(view.now) {
                (0, t.speed.slowness(view.now, view.memory_us))
            } else {
                (1, f64::from(load))
            }
        };
        pick(lowest(candidates(view).map(|(i, t)| (i, key(t))), random))
    }
}

impl Choose for TryAndRefuse {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        let free = candidates(view).filter(|(_, t)| t.in_flight < t.plan.slots);
        pick(lowest(free.map(|(i, _)| (i, ())), random))
    }
}

impl Choose for IdleSlots {
    const LATE_BINDING: bool = false;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        let is_busy = |t: &Target| {
            let limit = t.limit.calls(view.now);
            t.in_flight >= limit || t.report.is_none_or(|r| r.busy >= limit)
        };
        pick(lowest(candidates(view).map(|(i, t)| (i, is_busy(t))), random))
    }
}

/// Targets that may get the call.
fn candidates<'a>(view: &'a View<'_>) -> impl Iterator<Item = (usize, &'a Target)> {
    let open = |t: &Target| t.is_usable() && t.limit.paused_until() <= view.now;
    let may = move |t: &Target| (open(t) || t.is_trial_due(view.now)) && !view.was_tried(t);
    view.targets.values().enumerate().filter(move |(_, t)| may(t))
}

fn pick(index: Option<usize>) -> Pick {
    index.map_or(Pick::NOTHING, |index| Pick::Target { index, expected_us: f64::NAN })
}
