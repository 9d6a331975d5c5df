//! Targets of one service, and the choice of a target for a call.

use super::{
    admission::{Admission, CallSeconds},
    call::Call,
    limits::RequestRate,
    queue::WaitQueue,
    routes::Route,
    target::{OTHER_CALLS_TOLERANCE, PROBE_TIMEOUT, RunningAttempt, SeenTarget, Target},
};
use crate::Timestamp;
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

/// Service time assumed before the first answer, as a fraction of the latency objective.
const INITIAL_BASE_FRACTION: f64 = 0.4;
/// Upper bound of the expected service time, as a fraction of the route's timeout.
const MAX_BASE_FRACTION: f64 = 0.5;
/// Weight of a new answer in the mean time of the calls of a route, in the mean size of their
/// answers, and in the effect of crowding.
const ANSWER_WEIGHT: f64 = 0.05;
/// Weight of a new report in the slowdown statistics.
const SLOWDOWN_WEIGHT: f64 = 0.02;
/// Weight of a new attempt in the refusal rate.
const REFUSAL_WEIGHT: f64 = 0.02;
/// Interval at which waiting calls are looked at even if nothing has changed.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Slowdown above which a machine counts as slow.
const SLOW_THRESHOLD: f64 = 2.0;
/// Fraction of a target's slots in use above which it counts as crowded.
const CROWDED_USAGE: f64 = 0.8;
/// Initial estimate of the ratio of observed to expected time at crowded targets.
const CROWDED_FACTOR: f64 = 1.3;
/// Range to which the measured effect of crowding is limited.
const CROWDED_RANGE: (f64, f64) = (1.0, 2.5);
/// Factor by which calls take longer at a target that is warming up.
const WARM_UP_FACTOR: f64 = 2.0;
/// Exponent that sets how steeply the probability of an answer in time falls around the objective.
const CHANCE_EXPONENT: f64 = 6.0;
/// Probability of an answer in time from which a slot is taken without waiting for a better one.
const GOOD_CHANCE: f64 = 0.5;
/// Minimum gain in utility for which a target is probed.
const PROBE_GAIN: f64 = 0.02;
/// Local targets that are probed for one call at a time.
const LOCAL_PROBES: usize = 2;
/// Remote targets that are probed for one call at a time.
const REMOTE_PROBES: usize = 2;
/// Local targets that are considered for one call; a sample is enough in large services.
const LOCAL_SAMPLE: usize = 96;
/// Remote targets that are considered for one call.
const REMOTE_SAMPLE: usize = 48;
/// Bytes of a probe and its answer.
const PROBE_BYTES: f64 = 250.0;
/// Time that a call needs in addition to its service time.
const CALL_OVERHEAD: Duration = Duration::from_millis(15);
/// Bytes counted for a call in addition to the size of its answer body.
const OVERHEAD_BYTES: f64 = 500.0;
/// Bytes assumed for a call before the first answer, as a multiple of [`OVERHEAD_BYTES`].
const INITIAL_BYTES_FACTOR: f64 = 2.0;
/// Initial estimate of the fraction of the reports that come from a slow machine.
const INITIAL_SLOW_SHARE: f64 = 0.2;
/// Initial estimate of the mean slowdown of slow machines: their service time as a multiple of the
/// usual one.
const INITIAL_SLOW_MEAN: f64 = 4.0;
/// Range to which a reported slowdown is limited before it enters a mean.
const SLOWDOWN_RANGE: (f64, f64) = (0.1, 20.0);
/// Time left until the deadline, in multiples of the expected time of a call at a typical target,
/// from which a late call waits instead of taking a slot at a slow machine.
const SLOW_WAIT_RUNS: u32 = 2;
/// Weight of the probability of an answer before the deadline in the utility of a slot, relative to
/// that of an answer within the objective.
const LATE_ANSWER_WEIGHT: f64 = 0.1;
/// Cost of each second that a call is expected to take, as a fraction of the value of a call.
const COST_PER_SECOND: f64 = 0.001;
/// Lower bound of the factor by which the time of an answer is divided to get the time at an idle,
/// warm target of the usual speed.
const MIN_SCALE: f64 = 0.1;
/// Upper bound of the service time learned from one answer, in multiples of the mean so far.
const MAX_BASE_SAMPLE: f64 = 4.0;
/// Time that must be left until the end of a drain for a call to start, in multiples of its expected
/// duration.
pub(super) const DRAIN_MARGIN: f64 = 1.5;
/// Lower bound of the mean service time of a route, in seconds.
const MIN_BASE_SECONDS: f64 = 0.000_1;
/// Upper bound of the ratio of observed to expected time of one answer in the means from which the
/// effect of crowding is computed.
const MAX_CROWDING_SAMPLE: f64 = 4.0;

/// Statistics of the calls of one route.
#[derive(Clone, Copy, Debug)]
struct RouteStats {
    /// Seconds at an idle, warm target of the usual speed.
    base: f64,
    /// Mean size of the answer bodies plus [`OVERHEAD_BYTES`], 0 before the first answer. A
    /// streamed body counts with a constant size.
    bytes: f64,
}

/// Call for which a target is chosen, and conditions of the choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceRequest<'a> {
    pub(super) now: Timestamp,
    pub(super) route: &'a Route,
    /// Until when an answer has its full value.
    pub(super) objective: Timestamp,
    pub(super) deadline: Timestamp,
    /// When the gateway stops, [`Timestamp::MAX`] if it does not.
    pub(super) drain_end: Timestamp,
    /// Targets that the call has already been sent to.
    pub(super) tried: &'a [Arc<str>],
    /// Cost of 1 kB to another failure domain, as a fraction of the value of a call.
    pub(super) crossing_cost: f64,
    /// Whether to accept only a slot with a good chance of an answer in time.
    pub(super) good_only: bool,
    /// Whether other calls wait for the service.
    pub(super) contended: bool,
    /// Probes per second that each target may get, 0 for none at all.
    pub(super) probe_rate: f64,
    /// Index of the target at which the search begins.
    pub(super) offset: usize,
}

/// Result of the search for a slot.
#[derive(Clone, Debug)]
pub(super) enum Choice {
    /// Start the call in this slot.
    Take(Candidate),
    /// Probe these targets first; the values are their indices.
    Probe(Vec<usize>),
    /// All free slots are poor now and may be better shortly.
    Defer,
    /// No slot is free.
    Full,
}

/// Free slot at a target, with what is expected of a call there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index of the target.
    pub(super) index: usize,
    /// Expected duration of the call in seconds.
    pub(super) expected: f64,
    /// Whether the target would be crowded.
    pub(super) crowded: bool,
    /// Factor on the service time for slowdown, crowding and warm-up, relative to an idle, warm
    /// target of the usual speed.
    pub(super) scale: f64,
    /// Whether the target is in the failure domain of this gateway.
    pub(super) local: bool,
    /// Whether the slowdown of the target is known as well as it will be: it is measured, or the
    /// target must not be probed.
    known: bool,
    /// Whether the slowdown of the target was reported, or targets report none.
    measured: bool,
    /// Probability of an answer within the objective.
    chance: f64,
}

impl Candidate {
    /// Returns whether the slowdown was known when the slot was chosen.
    pub(super) fn is_measured(&self) -> bool {
        self.measured
    }
}

/// Slot with its expected utility, and its utility if the machine turns out not to be slow.
#[derive(Clone, Copy, Debug)]
struct ScoredCandidate {
    candidate: Candidate,
    utility: f64,
    potential: f64,
}

/// Whether the targets of a service report their slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reporting {
    /// No target has answered yet.
    Unknown,
    Reported,
    NotReported,
}

/// Statistics of the slowdowns of all machines of a service.
#[derive(Clone, Copy, Debug)]
struct SlowdownStats {
    reporting: Reporting,
    /// Fraction of the reports that came from a slow machine.
    slow_share: f64,
    /// Mean slowdown of slow machines.
    slow_mean: f64,
    /// Mean slowdown of all other machines.
    usual_mean: f64,
}

impl SlowdownStats {
    /// Returns whether probes are useful: also before the first answer, since the first calls after
    /// a start would otherwise go to slow or full targets.
    fn may_be_reported(&self) -> bool {
        self.reporting != Reporting::NotReported
    }

    fn record(&mut self, slowdown: Option<f64>) {
        let Some(slowdown) = slowdown else {
            if self.reporting == Reporting::Unknown {
                self.reporting = Reporting::NotReported;
            }
            return;
        };
        self.reporting = Reporting::Reported;
        let slow = slowdown > SLOW_THRESHOLD;
        self.slow_share += (f64::from(u8::from(slow)) - self.slow_share) * SLOWDOWN_WEIGHT;
        let mean = if slow { &mut self.slow_mean } else { &mut self.usual_mean };
        *mean += (slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1) - *mean) * SLOWDOWN_WEIGHT;
    }
}

/// Targets and statistics of one service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) targets: IndexMap<Arc<str>, Target>,
    route_stats: IndexMap<Arc<str>, RouteStats>,
    slowdowns: SlowdownStats,
    pub(super) admission: Admission,
    /// Mean ratio of observed to expected time at crowded targets and at the others.
    crowding: (f64, f64),
    /// Moving average of the fraction of attempts that targets refused.
    refusal_rate: f64,
    /// Whether a slot has become free or something was learned of a target since the waiting calls were
    /// looked at.
    pub(super) is_changed: bool,
    /// When the waiting calls are looked at even if nothing has changed.
    next_dispatch: Timestamp,
    /// Requests per second that a cold target can handle.
    pub(super) cold_rate: Option<RequestRate>,
    /// Calls that have found only cold targets without tokens.
    pub(super) cold_misses: u64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            targets: IndexMap::new(),
            route_stats: IndexMap::new(),
            slowdowns: SlowdownStats {
                reporting: Reporting::Unknown,
                slow_share: INITIAL_SLOW_SHARE,
                slow_mean: INITIAL_SLOW_MEAN,
                usual_mean: 1.0,
            },
            admission: Admission::default(),
            crowding: (CROWDED_FACTOR, 1.0),
            refusal_rate: 0.0,
            is_changed: false,
            next_dispatch: Timestamp::default(),
            cold_rate: None,
            cold_misses: 0,
        }
    }
}

impl Service {
    /// Updates the targets from the catalog. Targets that are no longer listed stay until their
    /// running calls have ended.
    pub(super) fn set_targets(&mut self, now: Timestamp, seen: &[SeenTarget<'_>], domain: &str) {
        self.is_changed = true;
        let names: IndexSet<&Arc<str>> = seen.iter().map(|s| &s.listed.record.name).collect();
        let is_listed = |name: &Arc<str>| names.contains(name);
        for target in self.targets.values_mut() {
            if !is_listed(&target.name) {
                target.lapse(now);
            }
        }
        self.targets.retain(|name, t| is_listed(name) || t.is_kept(now));
        for seen in seen {
            let name = &seen.listed.record.name;
            match self.targets.get_mut(name) {
                Some(target) if target.is_same_process(seen.listed) => target.update_record(seen),
                Some(target) => {
                    let running = std::mem::take(&mut target.running);
                    let new = Target::new(now, seen, domain);
                    let is_moved = new.started.is_some() && new.process == target.process;
                    *target = if is_moved {
                        let (rest, departed) = (target.rest, target.departed);
                        let limit = std::mem::take(&mut target.limit);
                        Target { running, rest, departed, limit, ..new }
                    } else {
                        let rest = target.rest_of_successor(now, new.started);
                        Target { running, rest, ..new }
                    };
                }
                None => {
                    self.targets.insert(Arc::clone(name), Target::new(now, seen, domain));
                }
            }
        }
    }

    /// Returns whether the waiting calls have to be looked at now, and notes that they are.
    pub(super) fn take_dispatch_due(&mut self, now: Timestamp) -> bool {
        let is_due = std::mem::take(&mut self.is_changed) || now >= self.next_dispatch;
        if is_due {
            let rest_left = self.rest_left(now).unwrap_or(DISPATCH_INTERVAL);
            self.next_dispatch = now + rest_left.min(DISPATCH_INTERVAL);
        }
        is_due
    }

    /// Returns the expected seconds of a call of `route` at an idle, warm target of the usual
    /// speed.
    ///
    /// The value is limited to a part of the route's timeout, however slow the targets were, so
    /// that calls are still sent: nothing else would show that the targets are fast again.
    pub(super) fn base_seconds(&self, route: &Route) -> f64 {
        let unknown = route.objective.as_secs_f64() * INITIAL_BASE_FRACTION;
        let base = self.route_stats.get(&route.name).map_or(unknown, |t| t.base);
        base.min(route.timeout.as_secs_f64() * MAX_BASE_FRACTION)
    }

    /// Returns the expected seconds of a call of `route` at a typical target: halfway between idle
    /// and crowded.
    pub(super) fn typical_seconds(&self, route: &Route) -> f64 {
        self.base_seconds(route) * (1.0 + self.crowding.0) / 2.0
    }

    /// Returns the time that a call of `route` needs.
    pub(super) fn call_seconds(&self, route: &Route) -> CallSeconds {
        self.admission.call_seconds(route, self.base_seconds(route))
    }

    /// Records which calls wait.
    pub(super) fn record_waiting(&mut self, now: Timestamp, queue: &WaitQueue) {
        let has_late = queue.has_late(now, |route| self.call_seconds(route));
        self.admission.record_waiting(now, !queue.is_empty(), has_late);
    }

    /// Records that a call starts.
    pub(super) fn record_start(&mut self, now: Timestamp, call: &Call) {
        let is_late = self.call_seconds(&call.route).is_late(now, call.objective);
        self.admission.record_start(now, is_late);
    }

    /// Returns the seconds of work that the targets do per second, without those that have named a limit
    /// or asked for rest.
    pub(super) fn capacity(&self, now: Timestamp) -> f64 {
        let usable = self.targets.values().filter(|t| t.is_askable(now));
        let slots: f64 = usable.map(|t| f64::from(t.slots) / self.crowding.0).sum();
        slots * (1.0 - self.slowdowns.slow_share)
    }

    /// Returns the seconds until the limits and the rates of cold targets admit a call that waits behind
    /// `ahead` others, infinite if this gateway may use none of the limits. `None` if a usable target that
    /// does not rest has no limit and is not cold, or if all rest.
    pub(super) fn limit_wait(&self, now: Timestamp, ahead: usize) -> Option<f64> {
        let usable = || self.targets.values().filter(|t| t.is_usable() && !t.rest.is_resting(now));
        let rates: Option<Vec<f64>> = usable().map(|t| t.admitted_rate(now)).collect();
        let rate: f64 = rates.filter(|rates| !rates.is_empty())?.iter().sum();
        let tokens: f64 = usable().map(|t| t.admitted_now(now)).sum();
        let needed = ahead as f64 + 1.0 - tokens;
        if needed <= 0.0 {
            return Some(0.0);
        }
        let handover = usable()
            .filter(|t| t.admitted_rate(now).is_some_and(|rate| rate > 0.0))
            .map(|t| t.limit.handover_left(now).as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let warm = usable().filter(|t| t.limit.rate().is_none());
        let warm = warm.map(|t| t.cold.time_left(now).as_secs_f64()).fold(f64::INFINITY, f64::min);
        Some((handover + needed / rate).min(warm))
    }

    /// Returns the time until the first usable target ends its rest, `None` if one does not rest or there
    /// is none.
    pub(super) fn rest_left(&self, now: Timestamp) -> Option<Duration> {
        let usable = self.targets.values().filter(|t| t.is_usable());
        // Asked for each waiting call: mostly the first target answers it.
        let lefts: Option<Vec<Duration>> =
            usable.map(|t| Some(t.rest.left(now)).filter(|left| !left.is_zero())).collect();
        lefts?.into_iter().min()
    }

    /// Returns the number of targets that rest.
    pub(super) fn resting_count(&self, now: Timestamp) -> usize {
        self.targets.values().filter(|t| t.rest.is_resting(now)).count()
    }

    /// Returns the number of targets that have said that they leave.
    pub(super) fn departed_count(&self) -> usize {
        self.targets.values().filter(|t| t.departed.is_some()).count()
    }

    /// Returns whether any target is usable.
    pub(super) fn has_usable(&self) -> bool {
        self.targets.values().any(Target::is_usable)
    }

    /// Returns the fraction of the local slots that are in use by this gateway.
    pub(super) fn local_usage(&self) -> f64 {
        let local = || self.targets.values().filter(|t| t.local && t.is_usable());
        let slots: f64 = local().map(|t| f64::from(t.slots)).sum();
        let used: usize = local().map(|t| t.running.len()).sum();
        if slots == 0.0 { 1.0 } else { used as f64 / slots }
    }

    /// Returns the best free slot, or what has to happen before one can be taken.
    pub(super) fn choose(&self, request: &ChoiceRequest<'_>) -> Choice {
        let scored = self.score_candidates(request);
        let hold = self.call_seconds(request.route).hold_time(request.now, request.objective);
        let is_ready =
            |r: &ScoredCandidate| self.targets[r.candidate.index].was_free_for(request.now, hold);
        let best = |known_only: bool| {
            let candidates = scored.iter().filter(|r| r.candidate.known || !known_only);
            let ready = candidates.filter(|r| is_ready(r));
            ready.max_by(|a, b| a.utility.total_cmp(&b.utility)).copied()
        };
        if scored.is_empty() {
            return Choice::Full;
        }
        let known = best(true);
        let known_utility = known.map_or(f64::NEG_INFINITY, |k| k.utility);
        let probes = self.probes_needed(request, &scored, known_utility);
        if !probes.is_empty() {
            return Choice::Probe(probes);
        }
        let pending =
            scored.iter().any(|r| !r.candidate.known && self.is_probe_pending(request.now, r));
        let any = best(false).filter(|any| any.utility > known_utility && !pending);
        let Some(taken) = any.or(known) else { return Choice::Defer };
        if request.good_only && taken.candidate.chance < GOOD_CHANCE {
            return Choice::Defer;
        }
        match self.should_wait(request, &taken.candidate) {
            true => Choice::Defer,
            false => Choice::Take(taken.candidate),
        }
    }

    fn score_candidates(&self, request: &ChoiceRequest<'_>) -> Vec<ScoredCandidate> {
        let all_in_backoff =
            self.targets.values().all(|t| !t.is_usable() || t.is_held(request.now));
        let local = || self.targets.values().filter(|t| t.local && t.is_usable());
        let locals_held = local().all(|t| t.is_held(request.now));
        let mut scored = Vec::new();
        let mut sampled = (0, 0);
        let count = self.targets.len();
        for step in 0..count {
            let index = (request.offset + step) % count;
            let target = &self.targets[index];
            let seen = if target.local { &mut sampled.0 } else { &mut sampled.1 };
            *seen += 1;
            if *seen > if target.local { LOCAL_SAMPLE } else { REMOTE_SAMPLE } {
                if sampled.0 > LOCAL_SAMPLE && sampled.1 > REMOTE_SAMPLE {
                    break;
                }
                continue;
            }
            let backs_off = target.in_backoff(request.now) && !all_in_backoff;
            if !target.is_usable() || backs_off || request.tried.contains(&target.name) {
                continue;
            }
            if let Some(candidate) = self.candidate(index, target, request, locals_held) {
                scored.push(self.score(candidate, target, request));
            }
        }
        scored
    }

    /// Returns the targets worth a probe: those that may turn out better than the best known one.
    fn probes_needed(
        &self,
        request: &ChoiceRequest<'_>,
        scored: &[ScoredCandidate],
        known_utility: f64,
    ) -> Vec<usize> {
        if !self.slowdowns.may_be_reported() || request.probe_rate == 0.0 {
            return Vec::new();
        }
        let remote_cost = request.crossing_cost * PROBE_BYTES / 1_000.0;
        let worth =
            |r: &ScoredCandidate| r.potential - if r.candidate.local { 0.0 } else { remote_cost };
        let mut promising: Vec<&ScoredCandidate> = scored
            .iter()
            .filter(|r| !r.candidate.known && worth(r) > known_utility + PROBE_GAIN)
            .filter(|r| self.targets[r.candidate.index].may_probe(request.now, request.probe_rate))
            .collect();
        promising.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
        // Either local or remote targets are probed, as the most promising one is.
        let local = promising.first().is_some_and(|r| r.candidate.local);
        let most = if local { LOCAL_PROBES } else { REMOTE_PROBES };
        let chosen = promising.iter().filter(|r| r.candidate.local == local).take(most);
        chosen.map(|r| r.candidate.index).collect()
    }

    /// Returns whether a probe of the target is pending.
    fn is_probe_pending(&self, now: Timestamp, scored: &ScoredCandidate) -> bool {
        let target = &self.targets[scored.candidate.index];
        target.probe_sent.is_some_and(|at| now.since(at) <= PROBE_TIMEOUT)
    }

    /// Returns whether the call should wait rather than take this slot: a slot at a machine of the
    /// usual speed may become free in time, or the call would only take time from others.
    fn should_wait(&self, request: &ChoiceRequest<'_>, candidate: &Candidate) -> bool {
        if !self.slowdowns.may_be_reported() || candidate.chance >= GOOD_CHANCE {
            return false;
        }
        let run = Duration::from_secs_f64(self.typical_seconds(request.route)) + CALL_OVERHEAD;
        if request.now + run <= request.objective {
            return true;
        }
        // A call that will miss its deadline only takes time from others, and so does a late call
        // on a slow machine.
        let left = request.deadline.since(request.now);
        let misses_deadline = chance(candidate.expected, left) < GOOD_CHANCE;
        let slow = candidate.scale > SLOW_THRESHOLD;
        misses_deadline || (slow && (request.contended || run * SLOW_WAIT_RUNS <= left))
    }

    fn candidate(
        &self,
        index: usize,
        target: &Target,
        request: &ChoiceRequest<'_>,
        locals_held: bool,
    ) -> Option<Candidate> {
        let now = request.now;
        let own = target.running.len() as f64;
        let slots = f64::from(target.slots);
        // A remote target keeps one slot free for the gateways in its own failure domain.
        let reserved = if target.local || locals_held || target.slots == 1 { 0.0 } else { 1.0 };
        if own + 1.0 > slots - reserved || target.wants_none(now) {
            return None;
        }
        let others = target.load.other_calls(now);
        if own + others > slots - 1.0 - reserved + OTHER_CALLS_TOLERANCE {
            return None;
        }
        let crowded = (own + others + 1.0) / slots > CROWDED_USAGE;
        let reported = target.load.recent_slowdown(now);
        let slowdown = reported.unwrap_or(self.slowdowns.usual_mean) / self.slowdowns.usual_mean;
        let crowding = if crowded { self.crowding.0 / self.crowding.1 } else { 1.0 };
        let warm_up = if now < target.warm_at { WARM_UP_FACTOR } else { 1.0 };
        let scale = slowdown * crowding.clamp(CROWDED_RANGE.0, CROWDED_RANGE.1) * warm_up;
        let latency_ratio = target.load.latency_ratio(now).max(target.overdue_ratio(now));
        let expected = self.base_seconds(request.route) * scale * latency_ratio;
        if expected * DRAIN_MARGIN > request.drain_end.since(now).as_secs_f64() {
            return None;
        }
        let left = request.objective.since(now);
        let measured = reported.is_some() || !self.slowdowns.may_be_reported();
        let slow_share = if measured { 0.0 } else { self.slowdowns.slow_share };
        let slow_expected = expected * self.slowdowns.slow_mean / self.slowdowns.usual_mean;
        let chance =
            slow_share * chance(slow_expected, left) + (1.0 - slow_share) * chance(expected, left);
        Some(Candidate {
            index,
            expected,
            crowded,
            scale,
            local: target.local,
            known: measured || target.limit.rate().is_some() || target.cold.is_cold(now),
            measured,
            chance,
        })
    }

    fn score(
        &self,
        candidate: Candidate,
        target: &Target,
        request: &ChoiceRequest<'_>,
    ) -> ScoredCandidate {
        let success_rate = target.load.success_rate(request.now);
        // Reliability counts more for a call that cannot be repeated.
        let reliability =
            if request.route.idempotent { success_rate } else { success_rate * success_rate };
        let late =
            LATE_ANSWER_WEIGHT * chance(candidate.expected, request.deadline.since(request.now));
        let bytes = self
            .route_stats
            .get(&request.route.name)
            .map_or(INITIAL_BYTES_FACTOR * OVERHEAD_BYTES, |t| t.bytes);
        let crossing = if candidate.local { 0.0 } else { request.crossing_cost * bytes / 1_000.0 };
        // Among equally good slots the faster one is preferred, also if all are late.
        let cost = crossing + COST_PER_SECOND * candidate.expected;
        let potential = chance(candidate.expected, request.objective.since(request.now));
        ScoredCandidate {
            candidate,
            utility: reliability * (candidate.chance + late) - cost,
            potential: reliability * (potential + late) - cost,
        }
    }

    /// Updates the statistics from an answer, unless the slowdown of its target was not known when
    /// the attempt started.
    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        route: &Route,
        running: &RunningAttempt,
        bytes: usize,
    ) {
        let seconds = now.since(running.since).as_secs_f64();
        self.admission.record_run(route, self.base_seconds(route), seconds);
        if !running.known {
            return;
        }
        let sample = seconds / running.scale.max(MIN_SCALE);
        let base = self.base_seconds(route);
        let old =
            self.route_stats.get(&route.name).copied().unwrap_or(RouteStats { base, bytes: 0.0 });
        let bytes = bytes as f64 + OVERHEAD_BYTES;
        let first = old.bytes == 0.0;
        let stats = RouteStats {
            base: (old.base + (sample.min(old.base * MAX_BASE_SAMPLE) - old.base) * ANSWER_WEIGHT)
                .max(MIN_BASE_SECONDS),
            bytes: if first { bytes } else { old.bytes + (bytes - old.bytes) * ANSWER_WEIGHT },
        };
        self.route_stats.insert(Arc::clone(&route.name), stats);
        let crowding = if running.crowded { self.crowding.0 / self.crowding.1 } else { 1.0 };
        let ratio = (seconds / (base * running.scale / crowding)).min(MAX_CROWDING_SAMPLE);
        let mean = if running.crowded { &mut self.crowding.0 } else { &mut self.crowding.1 };
        *mean += (ratio - *mean) * ANSWER_WEIGHT;
    }

    /// Returns the moving average of the fraction of attempts that targets refused.
    pub(super) fn refusal_rate(&self) -> f64 {
        self.refusal_rate
    }

    /// Records whether a target refused an attempt.
    pub(super) fn record_refusal(&mut self, refused: bool) {
        self.refusal_rate += (f64::from(u8::from(refused)) - self.refusal_rate) * REFUSAL_WEIGHT;
    }

    /// Records the slowdown that an answer reported, or that it reported none.
    pub(super) fn record_slowdown(&mut self, slowdown: Option<f64>) {
        self.slowdowns.record(slowdown);
    }
}

/// Returns the probability that a call of `expected` seconds ends within `left`.
pub(super) fn chance(expected: f64, left: Duration) -> f64 {
    let left = left.as_secs_f64();
    if left <= 0.0 { 0.0 } else { 1.0 / (1.0 + (expected / left).powf(CHANCE_EXPONENT)) }
}
