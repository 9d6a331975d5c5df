//! Late binding into slots that this entry owns, steering away from slow targets.
//!
//! A call takes the free slot at the fastest target. When only slower slots are free, it waits as
//! long as the expected wait for a faster slot and the run there are together shorter than the run
//! at hand (the threshold policy of the slow-server problem: Lin and Kumar, 1984). The more calls
//! wait, the sooner the slow slots are used.

use super::{Choose, Pick, View};
use crate::dispatch::target::Target;
use rand::{Rng, RngExt};
use std::time::Duration;

/// Slowness below which a slot is always taken.
const FAST_ENOUGH: f64 = 1.3;
/// How many times faster a slot has to be to be waited for.
const WORTH_WAITING: f64 = 1.7;
/// Slots whose slowness is within this ratio of the best are taken at random.
const SPREAD: f64 = 1.1;
/// Part of the expected service time after which a waiting call looks again.
const LOOK_AGAIN: f64 = 0.25;
/// Shortest and longest time until a waiting call looks again.
const LOOK_AGAIN_MIN: f64 = 200.0;
const LOOK_AGAIN_MAX: f64 = 50_000.0;

/// Slots owned by this entry.
#[derive(Debug)]
pub(crate) struct Owned;

impl Choose for Owned {
    const LATE_BINDING: bool = true;

    fn choose<R>(&mut self, view: &View<'_>, random: &mut R) -> Pick
    where
        R: Rng,
    {
        let Some(best) = best_free(view, random) else { return wait_for_any(view) };
        if best.trial || best.slowness <= FAST_ENOUGH {
            return best.pick(view);
        }
        let faster = faster_slots(view, best.slowness);
        if faster.rate == 0.0 {
            return best.pick(view);
        }
        let wait = view.waiting as f64 / faster.rate;
        let waited_us = (wait + faster.slowness) * view.expected_us;
        if best.slowness * view.expected_us <= waited_us {
            return best.pick(view);
        }
        Pick::Wait { expected_us: waited_us, again: Some(look_again(view)) }
    }
}

struct Free {
    index: usize,
    slowness: f64,
    trial: bool,
}

impl Free {
    fn pick(&self, view: &View<'_>) -> Pick {
        Pick::Target { index: self.index, expected_us: self.slowness * view.expected_us }
    }
}

/// The free slot at the fastest target. A due trial comes first for calls that may run again.
fn best_free<R>(view: &View<'_>, random: &mut R) -> Option<Free>
where
    R: Rng,
{
    let mut best: Option<Free> = None;
    let mut last_resort = None;
    for (index, target) in view.targets.values().enumerate() {
        if target.is_trial_due(view.now) && !view.was_tried(target) {
            let trial = Free { index, slowness: 1.0, trial: true };
            if view.idempotent {
                return Some(trial);
            }
            last_resort = Some(trial);
            continue;
        }
        if target.free(view.now) == 0 {
            continue;
        }
        let slowness = slowness_for(view, target);
        let slowness = slowness * (1.0 + (SPREAD - 1.0) * random.random::<f64>());
        if best.as_ref().is_none_or(|b| slowness < b.slowness) {
            best = Some(Free { index, slowness, trial: false });
        }
    }
    best.or(last_resort)
}

/// Slowness of the target; one that the call has tried already comes after all others.
fn slowness_for(view: &View<'_>, target: &Target) -> f64 {
    let slowness = target.speed.slowness_of_next(view.now, view.memory_us);
    if view.was_tried(target) { slowness * 16.0 } else { slowness }
}

struct FasterSlots {
    /// Slots that become free per mean service time.
    rate: f64,
    /// Mean slowness of the slots, weighed by rate.
    slowness: f64,
}

/// Busy slots at targets that are faster than `slowness`.
fn faster_slots(view: &View<'_>, slowness: f64) -> FasterSlots {
    let mut rate = 0.0;
    let mut slots = 0.0;
    for target in view.targets.values() {
        if target.in_flight == 0 || !target.is_usable() {
            continue;
        }
        let speed = target.speed.slowness(view.now, view.memory_us);
        if speed * WORTH_WAITING < slowness {
            let busy = f64::from(target.in_flight.min(target.own));
            rate += busy / speed;
            slots += busy;
        }
    }
    FasterSlots { rate, slowness: if rate > 0.0 { slots / rate } else { 0.0 } }
}

/// All slots are taken.
fn wait_for_any(view: &View<'_>) -> Pick {
    if !view.asks_wait {
        return Pick::Wait { expected_us: f64::INFINITY, again: first_resumption(view) };
    }
    let all = faster_slots(view, f64::INFINITY);
    if all.rate == 0.0 {
        return Pick::Wait { expected_us: f64::INFINITY, again: first_resumption(view) };
    }
    let expected_us = (view.waiting as f64 / all.rate + all.slowness) * view.expected_us;
    Pick::Wait { expected_us, again: first_resumption(view) }
}

/// When the first pause or open breaker of a target ends.
fn first_resumption(view: &View<'_>) -> Option<crate::Timestamp> {
    let staying = view.targets.values().filter(|t| t.is_staying() && t.own > 0);
    let ends = staying.filter_map(|t| t.breaker.trial_at().or(Some(t.limit.paused_until())));
    ends.filter(|at| *at > view.now).min()
}

fn look_again(view: &View<'_>) -> crate::Timestamp {
    let us = (view.expected_us * LOOK_AGAIN).clamp(LOOK_AGAIN_MIN, LOOK_AGAIN_MAX);
    view.now + Duration::from_micros(us as u64)
}
