//! A few fake targets and one entry in virtual time.

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

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mode {
    /// Answers, this many times slower than usual.
    Slow(f64),
    /// Answers with a fault after 0.1 ms.
    FailFast,
    /// Answers with a fault after 0.1 ms this share of the time.
    FailSome(f64),
    /// Never answers; probes tell of an idle target.
    Hang,
    /// Refuses connections.
    Dead,
    /// As healthy, but reports no slot in use and has one slot only.
    LiesIdle,
}

/// Calls of one kind that arrive at random.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) operation: usize,
    pub(crate) caller: &'static str,
    pub(crate) per_second: f64,
    pub(crate) timeout: Duration,
}

/// What became of the calls of one operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) arrived: u64,
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) faults: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive(usize),
    Back(u64, usize, u8),
    Wake,
}

const ANSWER: u8 = 0;
const FAULT: u8 = 1;
const TIMEOUT: u8 = 2;
const CONNECT: u8 = 3;
const BUSY: u8 = 4;

struct Open {
    stream: usize,
    deadline: Timestamp,
    arrived: Timestamp,
}

/// One entry with its targets.
pub(crate) struct Fake {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Timestamp,
    pub(crate) modes: Vec<Mode>,
    pub(crate) streams: Vec<Stream>,
    /// By operation.
    pub(crate) counts: BTreeMap<usize, Counts>,
    /// Slot time by caller.
    pub(crate) slot_time: BTreeMap<&'static str, Duration>,
    /// Dispatches by target.
    pub(crate) dispatched: Vec<u64>,
    /// Times of dispatch by operation, in the order of starts.
    pub(crate) starts: Vec<(Timestamp, usize)>,
    /// Latency of every answer, with the time at which it came.
    pub(crate) latencies: Vec<(Timestamp, Duration)>,
    pub(crate) first_tries: u64,
    pub(crate) second_tries: u64,
    pub(crate) probes: Vec<Timestamp>,
    pub(crate) retry_after: Vec<(RefusalReason, Duration)>,
    slots: u32,
    busy: Vec<u32>,
    open: BTreeMap<u64, Open>,
    /// Attempts in flight: when they were sent, and whether they hold a slot.
    live: BTreeMap<(u64, usize), (Timestamp, bool)>,
    due: BinaryHeap<Reverse<(Timestamp, u64, Due)>>,
    serial: u64,
    next: u64,
    woken: Option<Timestamp>,
    random: Pcg64Mcg,
}

impl Fake {
    pub(crate) fn new(plan: ServiceConfig, count: usize, slots: u32, streams: Vec<Stream>) -> Self {
        let mut fake = Self {
            dispatcher: Dispatcher::new(Arc::new(plan), 3),
            now: Timestamp::from_millis(10_000),
            modes: vec![Mode::Slow(1.0); count],
            counts: BTreeMap::new(),
            slot_time: BTreeMap::new(),
            dispatched: vec![0; count],
            starts: Vec::new(),
            latencies: Vec::new(),
            first_tries: 0,
            second_tries: 0,
            probes: Vec::new(),
            retry_after: Vec::new(),
            slots,
            busy: vec![0; count],
            open: BTreeMap::new(),
            live: BTreeMap::new(),
            due: BinaryHeap::new(),
            serial: 0,
            next: 0,
            woken: None,
            random: Pcg64Mcg::seed_from_u64(11),
            streams,
        };
        fake.on(Event::TargetsChanged(targets(count, slots)));
        for stream in 0..fake.streams.len() {
            fake.plan_arrival(stream);
        }
        fake
    }

    /// Calls per second that all targets together can serve when healthy.
    pub(crate) fn capacity(count: usize, slots: u32) -> f64 {
        count as f64 * f64::from(slots) / SERVICE.as_secs_f64()
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at > end {
                self.schedule(at, due);
                break;
            }
            self.now = at;
            self.happen(due);
        }
        self.now = end;
    }

    pub(crate) fn on(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
        let wakeup = self.dispatcher.next_wakeup().map(|at| at.max(self.now));
        if wakeup.is_some() && self.woken.is_none_or(|at| at <= self.now || Some(at) > wakeup) {
            self.woken = wakeup;
            if let Some(at) = wakeup {
                self.schedule(at, Due::Wake);
            }
        }
    }

    pub(crate) fn clear(&mut self) {
        self.counts.clear();
        self.latencies.clear();
        self.starts.clear();
        self.slot_time.clear();
        self.dispatched.fill(0);
    }

    /// Share of the calls of `operation` that were answered in time.
    pub(crate) fn in_time(&self, operation: usize) -> f64 {
        let counts = &self.counts[&operation];
        counts.in_time as f64 / counts.arrived as f64
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrive(stream) => self.arrive(stream),
            Due::Back(id, target, how) => self.back(id, target, how),
            Due::Wake => self.on(Event::Tick),
        }
    }

    fn arrive(&mut self, stream: usize) {
        self.plan_arrival(stream);
        let Stream { operation, caller, timeout, .. } = self.streams[stream];
        self.next += 1;
        let deadline = self.now + timeout;
        self.open.insert(self.next, Open { stream, deadline, arrived: self.now });
        self.counts.entry(operation).or_default().arrived += 1;
        self.on(Event::Arrived(call(self.next, caller, operation, deadline)));
    }

    fn back(&mut self, id: u64, target: usize, how: u8) {
        let Some((started, holds)) = self.live.remove(&(id, target)) else { return };
        if holds {
            self.busy[target] -= 1;
        }
        let elapsed = self.now - started;
        if let Some(open) = self.open.get(&id) {
            *self.slot_time.entry(self.streams[open.stream].caller).or_default() += elapsed;
        }
        let (call, name) = (CallId(id), crate::fixture::target_name(target));
        let busy = if self.modes[target] == Mode::LiesIdle { 0 } else { self.busy[target] };
        let report = Some(LoadReport { busy, draining: false });
        let event = match how {
            ANSWER | FAULT => {
                let ok = how == ANSWER;
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
        self.on(event);
    }

    fn count_answer(&mut self, id: u64, ok: bool) {
        let Some(open) = self.open.remove(&id) else { return };
        let counts = self.counts.entry(self.streams[open.stream].operation).or_default();
        match ok {
            false => counts.faults += 1,
            true if self.now <= open.deadline => counts.in_time += 1,
            true => counts.late += 1,
        }
        self.latencies.push((self.now, self.now - open.arrived));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { call, target, attempt } => {
                self.first_tries += u64::from(attempt == 1);
                self.second_tries += u64::from(attempt > 1);
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
                if let Some((_, true)) = self.live.remove(&(call.0, index)) {
                    self.busy[index] -= 1;
                }
            }
            Action::Probe { target } => {
                self.probes.push(self.now);
                let report = Some(LoadReport { busy: 0, draining: false });
                self.on(Event::Probed { target, report });
            }
            Action::Relay { .. } => {}
        }
    }

    fn count_end<F>(&mut self, call: CallId, count: F)
    where
        F: Fn(&mut Counts),
    {
        if let Some(open) = self.open.remove(&call.0) {
            count(self.counts.entry(self.streams[open.stream].operation).or_default());
        }
    }

    fn send(&mut self, id: u64, target: usize) {
        self.dispatched[target] += 1;
        let Some(open) = self.open.get(&id) else { return };
        let (deadline, operation) = (open.deadline, self.streams[open.stream].operation);
        self.starts.push((self.now, operation));
        self.live.insert((id, target), (self.now, false));
        let mode = self.modes[target];
        let slots = if mode == Mode::LiesIdle { 1 } else { self.slots };
        let fault = Duration::from_micros(100);
        if mode == Mode::Dead {
            return self.schedule(self.now + fault, Due::Back(id, target, CONNECT));
        }
        if self.busy[target] >= slots {
            return self.schedule(self.now + fault, Due::Back(id, target, BUSY));
        }
        self.busy[target] += 1;
        self.live.insert((id, target), (self.now, true));
        let (took, how) = match mode {
            Mode::FailFast => (fault, FAULT),
            Mode::FailSome(share) if self.random.random::<f64>() < share => (fault, FAULT),
            Mode::Hang => (Duration::from_secs(3_600), TIMEOUT),
            Mode::Slow(factor) => (self.exponential(SERVICE.mul_f64(factor)), ANSWER),
            _ => (self.exponential(SERVICE), ANSWER),
        };
        let end = self.now + took;
        let due = if end > deadline { (deadline, TIMEOUT) } else { (end, how) };
        self.schedule(due.0, Due::Back(id, target, due.1));
    }

    fn plan_arrival(&mut self, stream: usize) {
        let mean = 1.0 / self.streams[stream].per_second;
        if mean.is_finite() {
            let at = self.now + self.exponential(Duration::from_secs_f64(mean));
            self.schedule(at, Due::Arrive(stream));
        }
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.random.random::<f64>()).ln())
    }

    fn schedule(&mut self, at: Timestamp, due: Due) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial, due)));
    }
}

/// The latency that the share `quantile` of `latencies` stays below.
pub(crate) fn quantile<I>(latencies: I, quantile: f64) -> Duration
where
    I: Iterator<Item = Duration>,
{
    let mut sorted: Vec<_> = latencies.collect();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}
