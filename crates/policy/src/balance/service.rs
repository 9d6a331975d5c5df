//! Targets of one service and the choice among them.

use super::{
    catalog::ListedTarget,
    routes::Route,
    target::{PROBE_TIME, Running, Target},
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

/// Service time assumed before the first answer, as a part of the latency objective.
const UNKNOWN_TIME: f64 = 0.4;
/// Part of a route's timeout that a call is expected to take at most.
const TRIED_TIME: f64 = 0.5;
/// Weight of one more answer in the mean time of a route.
const NEW_TIME: f64 = 0.05;
/// Weight of one more report in the figures on pace.
const NEW_PACE: f64 = 0.02;
/// Weight of one more attempt in the part that is refused.
const NEW_REFUSAL: f64 = 0.02;
/// Pace above which a machine counts as slow.
const SLOW_PACE: f64 = 2.0;
/// Part of a target's slots from which it counts as crowded.
const CROWDED: f64 = 0.8;
/// How much longer calls take at a crowded target before that was measured.
const CROWDED_TIME: f64 = 1.3;
/// Range in which the measured figure is believed.
const CROWDED_RANGE: (f64, f64) = (1.0, 2.5);
/// How much longer calls take at a target that warms up.
const COLD_TIME: f64 = 2.0;
/// Steepness of the chance of an answer in time around the objective.
const STEEPNESS: f64 = 6.0;
/// Calls of others that may be at a target that still counts as having a free slot.
const OTHERS_ALLOWED: f64 = 0.5;
/// Chance of an answer in time from which a place is taken without waiting for a better one.
const GOOD_CHANCE: f64 = 0.5;
/// Gain in utility for which the pace of a target is asked for.
const PROBE_GAIN: f64 = 0.02;
/// Targets that are probed for one call at a time.
const PROBED: usize = 2;
/// The same for targets in other failure domains.
const FAR_PROBED: usize = 2;
/// Targets that are looked at for one call, near and far; in large services a sample does.
const NEAR_LOOKS: usize = 96;
const FAR_LOOKS: usize = 48;
/// Bytes of a probe and its answer.
const PROBE_BYTES: f64 = 250.0;
/// Time that a call needs beside its run.
const OVERHEAD: Duration = Duration::from_millis(15);
/// Bytes that an exchange has beyond its bodies.
const HEAD_BYTES: f64 = 500.0;

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
    /// Whether other calls wait for the service.
    pub(super) crowd: bool,
    /// Probes that each target may get in a second.
    pub(super) probe_rate: f64,
    /// Where among the targets the search begins.
    pub(super) offset: usize,
}

/// What comes of the search for a place.
#[derive(Clone, Debug)]
pub(super) enum Choice {
    /// Start there.
    Take(Place),
    /// Ask these targets for their load first.
    Probe(Vec<usize>),
    /// All free places are bad now and may be better in a moment.
    Hold,
    /// No place is free.
    Full,
}

/// A place for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) index: usize,
    pub(super) expected: f64,
    pub(super) crowded: bool,
    pub(super) scale: f64,
    pub(super) near: bool,
    /// Whether the pace is known.
    known: bool,
    /// Chance of an answer in time.
    chance: f64,
}

impl Place {
    /// Whether the pace was known when the place was chosen.
    pub(super) fn is_known(&self) -> bool {
        self.known
    }
}

/// A place with its utility, and the utility that it may turn out to have.
#[derive(Clone, Copy, Debug)]
struct Rated {
    place: Place,
    utility: f64,
    hope: f64,
}

/// Whether the targets of a service tell their pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Telling {
    /// No target has answered yet.
    Unknown,
    Told,
    Untold,
}

/// What is known of the paces of all machines of a service.
#[derive(Clone, Copy, Debug)]
struct Paces {
    telling: Telling,
    /// Part of the reports that told of a slow machine.
    slow_part: f64,
    /// Mean pace of the slow ones and of the others.
    slow: f64,
    usual: f64,
}

impl Paces {
    /// Whether it is worth asking a target for its pace: until one has answered, too, since the
    /// first calls after a start would otherwise go to slow or full targets.
    fn may_be_told(&self) -> bool {
        self.telling != Telling::Untold
    }

    fn learn(&mut self, pace: Option<f64>) {
        let Some(pace) = pace else {
            if self.telling == Telling::Unknown {
                self.telling = Telling::Untold;
            }
            return;
        };
        self.telling = Telling::Told;
        let slow = pace > SLOW_PACE;
        self.slow_part += (f64::from(u8::from(slow)) - self.slow_part) * NEW_PACE;
        let mean = if slow { &mut self.slow } else { &mut self.usual };
        *mean += (pace.clamp(0.1, 20.0) - *mean) * NEW_PACE;
    }
}

/// Targets of one service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) targets: IndexMap<Arc<str>, Target>,
    times: IndexMap<Arc<str>, Times>,
    paces: Paces,
    /// Mean of observed over expected time at targets that are crowded and at those that are not.
    crowding: (f64, f64),
    /// Part of the latest attempts that targets refused.
    refused: f64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            targets: IndexMap::new(),
            times: IndexMap::new(),
            paces: Paces { telling: Telling::Unknown, slow_part: 0.2, slow: 4.0, usual: 1.0 },
            crowding: (CROWDED_TIME, 1.0),
            refused: 0.0,
        }
    }
}

impl Service {
    /// Takes over which targets there are. Returns the calls that were at processes which ended.
    pub(super) fn set_targets(&mut self, now: Timestamp, listed: &[&ListedTarget], domain: &str) {
        let names: IndexSet<&Arc<str>> = listed.iter().map(|l| &l.record.name).collect();
        let is_listed = |name: &Arc<str>| names.contains(name);
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
    ///
    /// However slow the targets were, it stays so far below the timeout that calls are tried: nothing
    /// else would show that they are fast again.
    pub(super) fn base(&self, route: &Route) -> f64 {
        let unknown = route.objective.as_secs_f64() * UNKNOWN_TIME;
        let base = self.times.get(&route.name).map_or(unknown, |t| t.base);
        base.min(route.timeout.as_secs_f64() * TRIED_TIME)
    }

    /// Expected seconds of a call of `route` at a target as they mostly are.
    pub(super) fn usual(&self, route: &Route) -> f64 {
        self.base(route) * (1.0 + self.crowding.0) / 2.0
    }

    /// Seconds of work that the targets do in one second.
    pub(super) fn capacity(&self) -> f64 {
        let usable = self.targets.values().filter(|t| t.is_usable());
        let slots: f64 = usable.map(|t| f64::from(t.slots) / self.crowding.0).sum();
        slots * (1.0 - self.paces.slow_part)
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

    /// The best free place, or what has to happen before one can be taken.
    pub(super) fn choose(&self, wish: &Wish<'_>) -> Choice {
        let rated = self.rate(wish);
        let best = |known: bool| {
            let places = rated.iter().filter(|r| r.place.known || !known);
            places.max_by(|a, b| a.utility.total_cmp(&b.utility)).copied()
        };
        let Some(any) = best(false) else { return Choice::Full };
        let known = best(true);
        let sure = known.map_or(f64::NEG_INFINITY, |k| k.utility);
        let probes = self.probes(wish, &rated, sure);
        if !probes.is_empty() {
            return Choice::Probe(probes);
        }
        let awaited = rated.iter().any(|r| !r.place.known && self.is_awaited(wish.now, r));
        let taken = if any.utility > sure && !awaited { Some(any) } else { known };
        let Some(taken) = taken else { return Choice::Hold };
        if wish.picky && taken.place.chance < GOOD_CHANCE {
            return Choice::Hold;
        }
        match self.is_worth_waiting(wish, &taken.place) {
            true => Choice::Hold,
            false => Choice::Take(taken.place),
        }
    }

    fn rate(&self, wish: &Wish<'_>) -> Vec<Rated> {
        let all_paused = self.targets.values().all(|t| !t.is_usable() || t.is_paused(wish.now));
        let near = || self.targets.values().filter(|t| t.near && t.is_usable());
        let lonely = near().all(|t| t.is_paused(wish.now));
        let mut rated = Vec::new();
        let mut looked = (0, 0);
        let count = self.targets.len();
        for step in 0..count {
            let index = (wish.offset + step) % count;
            let target = &self.targets[index];
            let seen = if target.near { &mut looked.0 } else { &mut looked.1 };
            *seen += 1;
            if *seen > if target.near { NEAR_LOOKS } else { FAR_LOOKS } {
                continue;
            }
            let shunned = target.is_paused(wish.now) && !all_paused;
            if !target.is_usable() || shunned || wish.tried.contains(&target.name) {
                continue;
            }
            if let Some(place) = self.place(index, target, wish, lonely) {
                rated.push(self.rated(place, target, wish));
            }
        }
        rated
    }

    /// Targets worth a probe: those that may turn out to be better than what is known.
    fn probes(&self, wish: &Wish<'_>, rated: &[Rated], sure: f64) -> Vec<usize> {
        if !self.paces.may_be_told() {
            return Vec::new();
        }
        let far = wish.crossing * PROBE_BYTES / 1_000.0;
        let worth = |r: &Rated| r.hope - if r.place.near { 0.0 } else { far };
        let mut hopeful: Vec<&Rated> = rated
            .iter()
            .filter(|r| !r.place.known && worth(r) > sure + PROBE_GAIN)
            .filter(|r| self.targets[r.place.index].may_probe(wish.now, wish.probe_rate))
            .collect();
        hopeful.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
        // Near targets are asked first; far ones only when no near one may do.
        let near = hopeful.first().is_some_and(|r| r.place.near);
        let most = if near { PROBED } else { FAR_PROBED };
        let chosen = hopeful.iter().filter(|r| r.place.near == near).take(most);
        chosen.map(|r| r.place.index).collect()
    }

    /// Whether a probe of the target is under way.
    fn is_awaited(&self, now: Timestamp, rated: &Rated) -> bool {
        let target = &self.targets[rated.place.index];
        target.probed.is_some_and(|at| now.since(at) <= PROBE_TIME)
    }

    /// Whether a better place may show up in time: one at a machine of the usual pace.
    fn is_worth_waiting(&self, wish: &Wish<'_>, place: &Place) -> bool {
        if !self.paces.may_be_told() || place.chance >= GOOD_CHANCE {
            return false;
        }
        let run = Duration::from_secs_f64(self.usual(wish.route)) + OVERHEAD;
        if wish.now + run <= wish.objective {
            return true;
        }
        // A call that will not end before its deadline only takes time from others, and so does a
        // late call at a slow machine.
        let left = wish.deadline.since(wish.now);
        let doomed = chance(place.expected, left) < GOOD_CHANCE;
        let slow = place.scale > SLOW_PACE;
        doomed || (slow && (wish.crowd || run * 2 <= left))
    }

    fn place(&self, index: usize, target: &Target, wish: &Wish<'_>, lonely: bool) -> Option<Place> {
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
        let told = target.load.pace(now);
        let pace = told.unwrap_or(self.paces.usual) / self.paces.usual;
        let crowding = if crowded { self.crowding.0 / self.crowding.1 } else { 1.0 };
        let cold = if now < target.warm_at { COLD_TIME } else { 1.0 };
        let scale = pace * crowding.clamp(CROWDED_RANGE.0, CROWDED_RANGE.1) * cold;
        let slowness = target.load.slowness(now).max(target.overdue(now));
        let expected = self.base(wish.route) * scale * slowness;
        let left = wish.objective.since(now);
        let known = told.is_some() || !self.paces.may_be_told();
        let part = if known { 0.0 } else { self.paces.slow_part };
        let slow = expected * self.paces.slow / self.paces.usual;
        let chance = part * chance(slow, left) + (1.0 - part) * chance(expected, left);
        Some(Place { index, expected, crowded, scale, near: target.near, known, chance })
    }

    fn rated(&self, place: Place, target: &Target, wish: &Wish<'_>) -> Rated {
        let reliability = target.load.reliability(wish.now);
        // A call that cannot be made again goes to the surest target.
        let sure = if wish.route.idempotent { reliability } else { reliability * reliability };
        let late = 0.1 * chance(place.expected, wish.deadline.since(wish.now));
        let bytes = self.times.get(&wish.route.name).map_or(2.0 * HEAD_BYTES, |t| t.bytes);
        let crossing = if place.near { 0.0 } else { wish.crossing * bytes / 1_000.0 };
        // Among places that are alike the faster one is taken, also where all are too late.
        let cost = crossing + 0.001 * place.expected;
        let hope = chance(place.expected, wish.objective.since(wish.now));
        Rated {
            place,
            utility: sure * (place.chance + late) - cost,
            hope: sure * (hope + late) - cost,
        }
    }

    /// Learns from an answer.
    pub(super) fn learn(&mut self, now: Timestamp, route: &Route, running: &Running, bytes: usize) {
        let seconds = now.since(running.since).as_secs_f64();
        if !running.known {
            return;
        }
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

    /// Part of the latest attempts that targets refused.
    pub(super) fn refused_part(&self) -> f64 {
        self.refused
    }

    /// Counts an attempt in the part that is refused.
    pub(super) fn learn_refusal(&mut self, refused: bool) {
        self.refused += (f64::from(u8::from(refused)) - self.refused) * NEW_REFUSAL;
    }

    /// Takes the pace that an answer told, or that it told none, into the figures.
    pub(super) fn learn_pace(&mut self, pace: Option<f64>) {
        self.paces.learn(pace);
    }
}

/// Chance that a call of `expected` seconds ends within `left`.
pub(super) fn chance(expected: f64, left: Duration) -> f64 {
    let left = left.as_secs_f64();
    if left <= 0.0 { 0.0 } else { 1.0 / (1.0 + (expected / left).powf(STEEPNESS)) }
}
