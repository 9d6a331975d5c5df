//! Targets of one service and the choice among them.

use super::{catalog::Listed, load::Load, routes::Route};
use crate::Timestamp;
use indexmap::IndexMap;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Service time assumed before the first answer, as a part of the latency objective.
const UNKNOWN_TIME: f64 = 0.4;
/// Weight of one more answer in the mean time of a route.
const NEW_TIME: f64 = 0.05;
/// Weight of one more report in the mean pace.
const NEW_PACE: f64 = 0.02;
/// Part of a target's slots from which it counts as crowded.
const CROWDED: f64 = 0.8;
/// How much longer calls take at a crowded target before that was measured.
const CROWDED_TIME: f64 = 1.3;
/// Range in which the measured figure is believed.
const CROWDED_RANGE: (f64, f64) = (1.0, 2.5);
/// How much longer calls take at a target that warms up.
const COLD_TIME: f64 = 2.0;
/// Steepness of the chance of an answer in time around the objective.
const STEEPNESS: f64 = 3.0;
/// Calls of others that may be at a target that still counts as having a free slot.
const OTHERS_ALLOWED: f64 = 0.5;
/// Shortest and longest time for which a target gets no calls after a failure.
const PAUSE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(4));
/// Broken exchanges in a row after which a target is paused.
const BROKEN_IN_A_ROW: u32 = 2;
/// Bytes that an exchange has beyond its bodies.
const HEAD_BYTES: f64 = 500.0;

/// A call under way at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) call: u64,
    pub(super) since: Timestamp,
    /// Time that it is expected to take.
    pub(super) expected: f64,
    /// Whether the target was crowded when it began.
    pub(super) crowded: bool,
    /// Time that it would take at an idle, warm target of the usual pace, over its expected time.
    pub(super) scale: f64,
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) started: Option<u64>,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) near: bool,
    pub(super) warm_at: Timestamp,
    pub(super) running: Vec<Running>,
    pub(super) load: Load,
    pub(super) paused_until: Timestamp,
    /// The address has changed hands; no calls until the record changes.
    pub(super) moved: bool,
}

impl Target {
    fn new(now: Timestamp, listed: &Listed, domain: &str) -> Self {
        let record = &listed.record;
        Self {
            name: Arc::clone(&record.name),
            address: record.address,
            started: record.started,
            slots: record.slots.max(1),
            leaving: record.leaving,
            near: &*record.failure_domain == domain,
            warm_at: listed.read + record.warmup,
            running: Vec::new(),
            load: Load::default(),
            paused_until: now,
            moved: false,
        }
    }

    fn update(&mut self, listed: &Listed) {
        let record = &listed.record;
        self.slots = record.slots.max(1);
        self.leaving = record.leaving;
        self.warm_at = listed.read + record.warmup;
    }

    fn is_same_process(&self, listed: &Listed) -> bool {
        self.started == listed.record.started && self.address == listed.record.address
    }

    /// Whether calls may go there at all.
    pub(super) fn is_usable(&self) -> bool {
        !self.leaving && !self.moved
    }

    fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Puts the target on pause after a failure.
    pub(super) fn failed(&mut self, now: Timestamp, connect: bool) {
        self.load.failed(now);
        let streak = self.load.streak();
        let needed = if connect { 1 } else { BROKEN_IN_A_ROW };
        if streak >= needed {
            let doublings = (streak - needed).min(8);
            self.paused_until = now + (PAUSE.0 * (1 << doublings)).min(PAUSE.1);
        }
    }

    /// How overdue the oldest call here is, at least 1.
    fn overdue(&self, now: Timestamp) -> f64 {
        let ratio = |r: &Running| now.since(r.since).as_secs_f64() / r.expected.max(0.001);
        self.running.iter().map(ratio).fold(1.0, |a, b| a.max(b / 1.5))
    }
}

/// What is known of the times of one route's calls.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// Seconds at an idle, warm target of the usual pace.
    base: f64,
    /// Bytes of an exchange.
    bytes: f64,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wish<'a> {
    pub(super) now: Timestamp,
    pub(super) route: &'a Route,
    /// Until when an answer has its full worth.
    pub(super) objective: Timestamp,
    pub(super) deadline: Timestamp,
    /// Targets that the call has been at.
    pub(super) tried: &'a [Arc<str>],
    /// Worth lost by one kB to another failure domain.
    pub(super) crossing: f64,
    /// Whether only a good place will do.
    pub(super) picky: bool,
}

/// A place for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) index: usize,
    pub(super) expected: f64,
    pub(super) crowded: bool,
    pub(super) scale: f64,
    pub(super) near: bool,
    /// Chance of an answer in time.
    pub(super) chance: f64,
}

/// Targets of one service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) targets: IndexMap<Arc<str>, Target>,
    times: IndexMap<Arc<str>, Times>,
    pace: f64,
    /// Mean of observed over expected time at targets that are crowded and at those that are not.
    crowding: (f64, f64),
}

impl Default for Service {
    fn default() -> Self {
        Self {
            targets: IndexMap::new(),
            times: IndexMap::new(),
            pace: 1.0,
            crowding: (CROWDED_TIME, 1.0),
        }
    }
}

impl Service {
    /// Takes over which targets there are. Returns the calls that were at processes which ended.
    pub(super) fn set_targets(&mut self, now: Timestamp, listed: &[&Listed], domain: &str) {
        let is_listed = |name: &Arc<str>| listed.iter().any(|l| l.record.name == *name);
        for target in self.targets.values_mut() {
            if !is_listed(&target.name) {
                target.leaving = true;
            }
        }
        self.targets.retain(|name, t| is_listed(name) || !t.running.is_empty());
        for listed in listed {
            let name = &listed.record.name;
            match self.targets.get_mut(name) {
                Some(target) if target.is_same_process(listed) => target.update(listed),
                Some(target) => {
                    let running = std::mem::take(&mut target.running);
                    *target = Target { running, ..Target::new(now, listed, domain) };
                }
                None => {
                    self.targets.insert(Arc::clone(name), Target::new(now, listed, domain));
                }
            }
        }
    }

    /// Expected seconds of a call of `route` at an idle, warm target of the usual pace.
    pub(super) fn base(&self, route: &Route) -> f64 {
        let unknown = route.objective.as_secs_f64() * UNKNOWN_TIME;
        self.times.get(&route.name).map_or(unknown, |t| t.base)
    }

    /// Expected seconds of a call of `route` at a target as they mostly are.
    pub(super) fn usual(&self, route: &Route) -> f64 {
        self.base(route) * self.crowding.0
    }

    /// Seconds of work that the targets do in one second.
    pub(super) fn capacity(&self) -> f64 {
        let usable = self.targets.values().filter(|t| t.is_usable());
        usable.map(|t| f64::from(t.slots) / self.crowding.0).sum()
    }

    /// Whether any target may be used.
    pub(super) fn has_usable(&self) -> bool {
        self.targets.values().any(Target::is_usable)
    }

    /// Part of the near slots that are in use by this gateway.
    pub(super) fn usage(&self) -> f64 {
        let near = || self.targets.values().filter(|t| t.near && t.is_usable());
        let slots: u32 = near().map(|t| t.slots).sum();
        let used: usize = near().map(|t| t.running.len()).sum();
        if slots == 0 { 1.0 } else { used as f64 / f64::from(slots) }
    }

    /// The best free place, if any.
    pub(super) fn choose(&self, wish: &Wish<'_>) -> Option<Place> {
        let all_paused = self.targets.values().all(|t| !t.is_usable() || t.is_paused(wish.now));
        let near = || self.targets.values().filter(|t| t.near && t.is_usable());
        let lonely = near().all(|t| t.is_paused(wish.now));
        let mut best: Option<(f64, Place)> = None;
        for (index, target) in self.targets.values().enumerate() {
            let shunned = target.is_paused(wish.now) && !all_paused;
            if !target.is_usable() || shunned || wish.tried.contains(&target.name) {
                continue;
            }
            let Some(place) = self.place(index, target, wish, lonely) else { continue };
            let utility = self.utility(&place, target, wish);
            if wish.picky && utility <= 0.0 {
                continue;
            }
            if best.as_ref().is_none_or(|(b, _)| utility > *b) {
                best = Some((utility, place));
            }
        }
        best.map(|(_, place)| place)
    }

    fn place(
        &self,
        index: usize,
        target: &Target,
        wish: &Wish<'_>,
        lonely: bool,
    ) -> Option<Place> {
        let now = wish.now;
        let own = target.running.len() as f64;
        let others = target.load.others(now);
        let slots = f64::from(target.slots);
        // A far target keeps one slot for the gateway that is near it.
        let kept = if target.near || lonely || target.slots == 1 { 0.0 } else { 1.0 };
        if own + 1.0 > slots - kept || own + others > slots - 1.0 - kept + OTHERS_ALLOWED {
            return None;
        }
        let crowded = (own + others + 1.0) / slots > CROWDED;
        let pace = target.load.pace(now, self.pace) / self.pace;
        let crowding = if crowded { self.crowding.0 / self.crowding.1 } else { 1.0 };
        let cold = if now < target.warm_at { COLD_TIME } else { 1.0 };
        let scale = pace * crowding.clamp(CROWDED_RANGE.0, CROWDED_RANGE.1) * cold;
        let slowness = target.load.slowness(now).max(target.overdue(now));
        let expected = self.base(wish.route) * scale * slowness;
        let chance = chance(expected, wish.objective.since(now));
        Some(Place { index, expected, crowded, scale, near: target.near, chance })
    }

    fn utility(&self, place: &Place, target: &Target, wish: &Wish<'_>) -> f64 {
        let reliability = target.load.reliability(wish.now);
        // A call that cannot be made again goes to the surest target.
        let sure = if wish.route.idempotent { reliability } else { reliability * reliability };
        let late = 0.1 * chance(place.expected, wish.deadline.since(wish.now));
        let bytes = self.times.get(&wish.route.name).map_or(2.0 * HEAD_BYTES, |t| t.bytes);
        let crossing = if place.near { 0.0 } else { wish.crossing * bytes / 1_000.0 };
        // Among places that are alike the faster one is taken, also where all are too late.
        sure * (place.chance + late) - crossing - 0.001 * place.expected
    }

    /// Learns from an answer.
    pub(super) fn learn(&mut self, now: Timestamp, route: &Route, running: &Running, bytes: usize) {
        let seconds = now.since(running.since).as_secs_f64();
        let sample = seconds / running.scale.max(0.1);
        let base = self.base(route);
        let old = self.times.get(&route.name).copied().unwrap_or(Times { base, bytes: 0.0 });
        let bytes = bytes as f64 + HEAD_BYTES;
        let first = old.bytes == 0.0;
        let times = Times {
            base: (old.base + (sample.min(old.base * 4.0) - old.base) * NEW_TIME).max(0.000_1),
            bytes: if first { bytes } else { old.bytes + (bytes - old.bytes) * NEW_TIME },
        };
        self.times.insert(Arc::clone(&route.name), times);
        let crowding = if running.crowded { self.crowding.0 / self.crowding.1 } else { 1.0 };
        let ratio = (seconds / (base * running.scale / crowding)).min(4.0);
        let mean = if running.crowded { &mut self.crowding.0 } else { &mut self.crowding.1 };
        *mean += (ratio - *mean) * NEW_TIME;
    }

    /// Takes a reported pace into the mean.
    pub(super) fn learn_pace(&mut self, pace: f64) {
        self.pace += (pace.clamp(0.1, 20.0) - self.pace) * NEW_PACE;
    }
}

/// Chance that a call of `expected` seconds ends within `left`.
pub(super) fn chance(expected: f64, left: Duration) -> f64 {
    let left = left.as_secs_f64();
    if left <= 0.0 { 0.0 } else { 1.0 / (1.0 + (expected / left).powf(STEEPNESS)) }
}
