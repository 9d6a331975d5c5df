//! Simulation of one entry and a few targets in virtual time.

use crate::fixture::{call, targets};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, LoadReport, RefusalReason, ServiceConfig,
        TargetRefusal,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

/// Mean service time of a healthy target.
pub(crate) const SERVICE: Duration = Duration::from_millis(10);

/// Behavior of a simulated target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// Answers; the mean service time is multiplied by this factor.
    Slow(f64),
    /// Answers every call with a fault after 0.1 ms.
    FailFast,
    /// Answers this ratio of calls with a fault after 0.1 ms; otherwise healthy.
    FailRatio(f64),
    /// Never answers calls. Probes report an idle target.
    Hang,
    /// Refuses connections.
    RefuseConnections,
    /// Healthy, but has only one slot and always reports that no slot is in use.
    UnderreportLoad,
}

/// Poisson arrivals of calls to one operation.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) operation: usize,
    pub(crate) caller: &'static str,
    pub(crate) per_second: f64,
    pub(crate) timeout: Duration,
}

/// Outcomes of the calls of one operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) arrived: u64,
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) faults: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
}

/// Scheduled events of the simulation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Arrive(usize),
    /// Call, target and result of an attempt.
    AttemptEnd(u64, usize, u8),
    Wakeup,
}

// Results of attempts.
const ANSWER: u8 = 0;
const FAULT: u8 = 1;
const TIMEOUT: u8 = 2;
const CONNECT: u8 = 3;
const BUSY: u8 = 4;

struct OpenCall {
    stream: usize,
    deadline: Timestamp,
    arrived: Timestamp,
}

/// One entry with its targets.
pub(crate) struct Simulation {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Timestamp,
    pub(crate) behaviors: Vec<Behavior>,
    pub(crate) streams: Vec<Stream>,
    /// Outcomes by operation.
    pub(crate) counts: BTreeMap<usize, Counts>,
    /// Slot time used, by caller.
    pub(crate) slot_time: BTreeMap<&'static str, Duration>,
    /// Number of dispatches, by target.
    pub(crate) dispatched: Vec<u64>,
    /// Time and operation of each dispatch, in order.
    pub(crate) starts: Vec<(Timestamp, usize)>,
    /// Time and latency of each answer.
    pub(crate) latencies: Vec<(Timestamp, Duration)>,
    pub(crate) first_attempts: u64,
    pub(crate) extra_attempts: u64,
    pub(crate) probes: Vec<Timestamp>,
    pub(crate) retry_after: Vec<(RefusalReason, Duration)>,
    slots: u32,
    busy: Vec<u32>,
    open_calls: BTreeMap<u64, OpenCall>,
    /// Attempts in flight by call and target, with the time of dispatch and whether they hold a
    /// slot.
    in_flight: BTreeMap<(u64, usize), (Timestamp, bool)>,
    timers: BinaryHeap<Reverse<(Timestamp, u64, Timer)>>,
    timer_seq: u64,
    next_id: u64,
    wakeup_at: Option<Timestamp>,
    random: Pcg64Mcg,
}

impl Simulation {
    pub(crate) fn new(
        config: ServiceConfig,
        count: usize,
        slots: u32,
        streams: Vec<Stream>,
    ) -> Self {
        let mut simulation = Self {
            dispatcher: Dispatcher::new(Arc::new(config), 3),
            now: Timestamp::from_millis(10_000),
            behaviors: vec![Behavior::Slow(1.0); count],
            counts: BTreeMap::new(),
            slot_time: BTreeMap::new(),
            dispatched: vec![0; count],
            starts: Vec::new(),
            latencies: Vec::new(),
            first_attempts: 0,
            extra_attempts: 0,
            probes: Vec::new(),
            retry_after: Vec::new(),
            slots,
            busy: vec![0; count],
            open_calls: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            timers: BinaryHeap::new(),
            timer_seq: 0,
            next_id: 0,
            wakeup_at: None,
            random: Pcg64Mcg::seed_from_u64(11),
            streams,
        };
        simulation.handle(Event::TargetsChanged(targets(count, slots)));
        for stream in 0..simulation.streams.len() {
            simulation.schedule_arrival(stream);
        }
        simulation
    }

    /// Returns the number of calls per second that all targets together can serve when healthy.
    pub(crate) fn capacity(count: usize, slots: u32) -> f64 {
        count as f64 * f64::from(slots) / SERVICE.as_secs_f64()
    }

    /// Runs the simulation for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, timer))) = self.timers.pop() {
            if at > end {
                self.schedule(at, timer);
                break;
            }
            self.now = at;
            self.fire(timer);
        }
        self.now = end;
    }

    /// Passes an event to the dispatcher and applies the resulting actions.
    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
        let wakeup = self.dispatcher.next_wakeup().map(|at| at.max(self.now));
        if wakeup.is_some() && self.wakeup_at.is_none_or(|at| at <= self.now || Some(at) > wakeup) {
            self.wakeup_at = wakeup;
            if let Some(at) = wakeup {
                self.schedule(at, Timer::Wakeup);
            }
        }
    }

    /// Discards the statistics collected so far.
    pub(crate) fn reset_stats(&mut self) {
        self.counts.clear();
        self.latencies.clear();
        self.starts.clear();
        self.slot_time.clear();
        self.dispatched.fill(0);
    }

    /// Returns the ratio of calls of `operation` that were answered before their deadline.
    pub(crate) fn in_time(&self, operation: usize) -> f64 {
        let counts = &self.counts[&operation];
        counts.in_time as f64 / counts.arrived as f64
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Arrive(stream) => self.arrive(stream),
            Timer::AttemptEnd(id, target, result) => self.end_attempt(id, target, result),
            Timer::Wakeup => self.handle(Event::Tick),
        }
    }

    fn arrive(&mut self, stream: usize) {
        self.schedule_arrival(stream);
        let Stream { operation, caller, timeout, .. } = self.streams[stream];
        self.next_id += 1;
        let deadline = self.now + timeout;
        self.open_calls.insert(self.next_id, OpenCall { stream, deadline, arrived: self.now });
        self.counts.entry(operation).or_default().arrived += 1;
        self.handle(Event::Arrived(call(self.next_id, caller, operation, deadline)));
    }

    fn end_attempt(&mut self, id: u64, target: usize, result: u8) {
        let Some((started, holds_slot)) = self.in_flight.remove(&(id, target)) else { return };
        if holds_slot {
            self.busy[target] -= 1;
        }
        let elapsed = self.now - started;
        if let Some(open_call) = self.open_calls.get(&id) {
            *self.slot_time.entry(self.streams[open_call.stream].caller).or_default() += elapsed;
        }
        let (call, name) = (CallId(id), crate::fixture::target_name(target));
        let busy =
            if self.behaviors[target] == Behavior::UnderreportLoad { 0 } else { self.busy[target] };
        let report = Some(LoadReport { busy, draining: false });
        let event = match result {
            ANSWER | FAULT => {
                let ok = result == ANSWER;
                self.count_answer(id, ok);
                Event::Answered { call, target: name, ok, elapsed, report }
            }
            BUSY => Event::Refused { call, target: name, refusal: TargetRefusal::Busy, report },
            CONNECT => {
                let kind = FailureKind::Connect;
                Event::Failed { call, target: name, kind, not_executed: true }
            }
            _ => {
                let kind = FailureKind::Timeout;
                Event::Failed { call, target: name, kind, not_executed: false }
            }
        };
        self.handle(event);
    }

    fn count_answer(&mut self, id: u64, ok: bool) {
        let Some(open_call) = self.open_calls.remove(&id) else { return };
        let counts = self.counts.entry(self.streams[open_call.stream].operation).or_default();
        match ok {
            false => counts.faults += 1,
            true if self.now <= open_call.deadline => counts.in_time += 1,
            true => counts.late += 1,
        }
        self.latencies.push((self.now, self.now - open_call.arrived));
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { call, target, attempt } => {
                self.first_attempts += u64::from(attempt == 1);
                self.extra_attempts += u64::from(attempt > 1);
                let index = target.trim_start_matches("target-").parse().unwrap_or(0);
                self.send(call.0, index);
            }
            Action::Refuse { call, reason, retry_after } => {
                self.retry_after.push((reason, retry_after));
                self.count_end(call, |c| c.refused += 1);
            }
            Action::Unknown { call, .. } => self.count_end(call, |c| c.unknown += 1),
            Action::Cancel { call, target } => {
                let index = target.trim_start_matches("target-").parse().unwrap_or(0);
                if let Some((_, true)) = self.in_flight.remove(&(call.0, index)) {
                    self.busy[index] -= 1;
                }
            }
            Action::Probe { target } => {
                self.probes.push(self.now);
                let report = Some(LoadReport { busy: 0, draining: false });
                self.handle(Event::Probed { target, report });
            }
            Action::Relay { .. } => {}
        }
    }

    fn count_end<F>(&mut self, call: CallId, count: F)
    where
        F: Fn(&mut Counts),
    {
        if let Some(open_call) = self.open_calls.remove(&call.0) {
            count(self.counts.entry(self.streams[open_call.stream].operation).or_default());
        }
    }

    fn send(&mut self, id: u64, target: usize) {
        self.dispatched[target] += 1;
        let Some(open_call) = self.open_calls.get(&id) else { return };
        let (deadline, operation) = (open_call.deadline, self.streams[open_call.stream].operation);
        self.starts.push((self.now, operation));
        self.in_flight.insert((id, target), (self.now, false));
        let behavior = self.behaviors[target];
        let slots = if behavior == Behavior::UnderreportLoad { 1 } else { self.slots };
        let fault = Duration::from_micros(100);
        if behavior == Behavior::RefuseConnections {
            return self.schedule(self.now + fault, Timer::AttemptEnd(id, target, CONNECT));
        }
        if self.busy[target] >= slots {
            return self.schedule(self.now + fault, Timer::AttemptEnd(id, target, BUSY));
        }
        self.busy[target] += 1;
        self.in_flight.insert((id, target), (self.now, true));
        let (duration, result) = match behavior {
            Behavior::FailFast => (fault, FAULT),
            Behavior::FailRatio(share) if self.random.random::<f64>() < share => (fault, FAULT),
            Behavior::Hang => (Duration::from_secs(3_600), TIMEOUT),
            Behavior::Slow(factor) => (self.exponential(SERVICE.mul_f64(factor)), ANSWER),
            _ => (self.exponential(SERVICE), ANSWER),
        };
        let end = self.now + duration;
        let ending = if end > deadline { (deadline, TIMEOUT) } else { (end, result) };
        self.schedule(ending.0, Timer::AttemptEnd(id, target, ending.1));
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let mean = 1.0 / self.streams[stream].per_second;
        if mean.is_finite() {
            let at = self.now + self.exponential(Duration::from_secs_f64(mean));
            self.schedule(at, Timer::Arrive(stream));
        }
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.random.random::<f64>()).ln())
    }

    fn schedule(&mut self, at: Timestamp, timer: Timer) {
        self.timer_seq += 1;
        self.timers.push(Reverse((at, self.timer_seq, timer)));
    }
}

/// Returns the given quantile of `latencies`, or zero if there are none.
pub(crate) fn quantile<I>(latencies: I, quantile: f64) -> Duration
where
    I: Iterator<Item = Duration>,
{
    let mut sorted: Vec<_> = latencies.collect();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}
