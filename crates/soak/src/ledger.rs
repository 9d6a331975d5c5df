//! What callers and targets saw, and the promises that it is held against.

use indexmap::IndexMap;
use parking_lot::Mutex;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time after which a leaving target gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time after which published settings are in force everywhere.
const SETTINGS_BOUND: Duration = Duration::from_secs(2);
/// Time without a fault after which bounds hold for a gateway again.
const CALM: Duration = Duration::from_secs(3);
/// Window of the budget of second tries, with its ratio and slack.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_RATIO: f64 = 0.2;
pub(crate) const BUDGET_SLACK: f64 = 60.0;
/// Time before a kill whose log lines may not have been written: the process may have been frozen
/// for the longest time that a fault lasts, and gathers lines for a moment.
const UNWRITTEN: Duration = Duration::from_secs(4);
/// Violations that are kept with their texts.
const KEPT: usize = 20;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// The whole answer of a target.
    Answered,
    /// Said not to have run.
    NotRun,
    /// Said that nobody knows, or the target's own failure.
    Unknown,
    /// The connection ended without an answer.
    Cut,
    /// No connection was made, or nothing was sent.
    Unsent,
    /// The caller gave up waiting.
    GaveUp,
}

#[derive(Clone, Debug)]
struct Call {
    idempotent: bool,
    gateway: usize,
    runs: u32,
    ended: Option<(Instant, Seen)>,
    /// Whether its gateway was killed before it must have written what became of the call.
    unwritten: bool,
}

impl Call {
    fn seen(&self) -> Option<Seen> {
        self.ended.map(|(_, seen)| seen)
    }
}

/// A call that ended for its caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    pub(crate) id: u64,
    pub(crate) seen: Seen,
    /// Times that targets ran it.
    pub(crate) runs: u32,
    /// Time since its end.
    pub(crate) age: Duration,
    /// Whether its gateway was killed before it must have written what became of the call.
    pub(crate) unwritten: bool,
}

#[derive(Debug, Default)]
struct Books {
    calls: IndexMap<u64, Call>,
    /// Last fault at each gateway, and since when it is in a planned stop.
    faulted: IndexMap<usize, Instant>,
    stopping: IndexMap<usize, Instant>,
    /// Targets that are leaving, with the time at which the platform took that in.
    leaving: IndexMap<String, Instant>,
    /// Versions of the moving route, with the times at which they were published.
    published: Vec<(u64, Instant)>,
    /// Latest version seen in effect at each process of a gateway.
    effects: IndexMap<(usize, u32), u64>,
    /// Arrivals by service: time and whether it was the first of its call.
    arrivals: IndexMap<String, VecDeque<(Instant, bool)>>,
    outages: Option<Instant>,
    violations: Vec<String>,
    counts: IndexMap<&'static str, u64>,
    recent: VecDeque<(Instant, bool)>,
}

/// Shared record of a run.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    books: Mutex<Books>,
}

impl Ledger {
    /// A caller is about to send a call to gateway `gateway`.
    pub(crate) fn sending(&self, id: u64, gateway: usize, idempotent: bool) {
        let call = Call { idempotent, gateway, runs: 0, ended: None, unwritten: false };
        self.books.lock().calls.insert(id, call);
    }

    /// A target begins to run a call.
    pub(crate) fn ran(&self, id: u64, target: &str, service: &str) {
        let mut books = self.books.lock();
        let now = Instant::now();
        books.arrive(now, id, service);
        let Some(call) = books.calls.get_mut(&id) else {
            books.break_promise(format!("unasked: call {id} ran at {target}"));
            return;
        };
        call.runs += 1;
        let (runs, idempotent, seen, gateway) =
            (call.runs, call.idempotent, call.seen(), call.gateway);
        if runs > 1 && !idempotent {
            books.break_promise(format!("twice: call {id} ran {runs} times, now at {target}"));
        }
        if seen == Some(Seen::NotRun) {
            books.break_promise(format!("refused: call {id} runs at {target} after its refusal"));
        }
        let since = books.leaving.get(target).copied();
        if let Some(since) = since.filter(|at| now - *at > LEAVING_BOUND)
            && books.is_calm(gateway, now)
            && books.is_platform_calm(since)
        {
            let late = now - since;
            books.break_promise(format!("leaving: call {id} runs at {target} {late:?} after"));
        }
    }

    /// A target turned a call away.
    pub(crate) fn refused_by_target(&self, id: u64, service: &str) {
        self.books.lock().arrive(Instant::now(), id, service);
    }

    /// A call ended for its caller.
    pub(crate) fn ended(&self, id: u64, seen: Seen) {
        let mut books = self.books.lock();
        let now = Instant::now();
        let name = match seen {
            Seen::Answered => "answered",
            Seen::NotRun => "not-run",
            Seen::Unknown => "unknown",
            Seen::Cut => "cut",
            Seen::Unsent => "unsent",
            Seen::GaveUp => "gave-up",
        };
        *books.counts.entry(name).or_default() += 1;
        books.recent.push_back((now, seen == Seen::Answered));
        while books.recent.front().is_some_and(|(at, _)| now - *at > CALM) {
            books.recent.pop_front();
        }
        let Some(call) = books.calls.get_mut(&id) else { return };
        call.ended = Some((now, seen));
        let (runs, gateway) = (call.runs, call.gateway);
        if seen == Seen::NotRun && runs > 0 {
            books.break_promise(format!("refused: call {id} ran and was said not to have run"));
        }
        let stop = books.stopping.get(&gateway).copied();
        if seen == Seen::Cut
            && runs > 0
            && let Some(stop) = stop
            && books.faulted.get(&gateway).is_none_or(|at| stop - CALM > *at)
        {
            books
                .break_promise(format!("lost: call {id} was cut by the planned stop of {gateway}"));
        }
    }

    /// An answer was not the whole answer to the call.
    pub(crate) fn mixed(&self, id: u64, what: &str) {
        self.books.lock().break_promise(format!("mixed: call {id}: {what}"));
    }

    /// A call of the moving route, sent at `sent` when version `shown` had been seen in effect,
    /// showed version `version`.
    pub(crate) fn showed(
        &self,
        gateway: usize,
        process: u32,
        sent: Instant,
        shown: u64,
        version: u64,
    ) {
        let mut books = self.books.lock();
        let due = |(_, at): &&(u64, Instant)| sent - SETTINGS_BOUND > *at;
        let required = books.published.iter().filter(due).map(|(v, _)| *v).max().unwrap_or(0);
        if version < required && books.is_calm(gateway, sent) && books.is_platform_calm(sent) {
            books.break_promise(format!(
                "settings: gateway {gateway} shows version {version}, due is {required}"
            ));
        }
        if version < shown {
            books.break_promise(format!("reverted: gateway {gateway} {version} after {shown}"));
        }
        let highest = books.effects.get(&(gateway, process)).copied().unwrap_or(0);
        books.effects.insert((gateway, process), version.max(highest));
    }

    /// Version that a call of the moving route may not fall below, as it is sent.
    pub(crate) fn highest_shown(&self, gateway: usize, process: u32) -> u64 {
        self.books.lock().effects.get(&(gateway, process)).copied().unwrap_or(0)
    }

    /// Something is done to a gateway or its links.
    pub(crate) fn fault(&self, gateway: usize) {
        self.books.lock().faulted.insert(gateway, Instant::now());
    }

    /// A gateway is killed, so what it has not written is lost.
    pub(crate) fn killed(&self, gateway: usize) {
        let mut books = self.books.lock();
        let now = Instant::now();
        for call in books.calls.values_mut().filter(|c| c.gateway == gateway) {
            call.unwritten |= call.ended.is_none_or(|(at, _)| now - at < UNWRITTEN);
        }
    }

    /// Calls that ended for their callers.
    pub(crate) fn ended_calls(&self) -> Vec<EndedCall> {
        let books = self.books.lock();
        let ended = |(id, call): (&u64, &Call)| {
            let (at, seen) = call.ended?;
            let (runs, unwritten) = (call.runs, call.unwritten);
            Some(EndedCall { id: *id, seen, runs, age: at.elapsed(), unwritten })
        };
        books.calls.iter().filter_map(ended).collect()
    }

    /// A planned stop begins, or is over.
    pub(crate) fn stop(&self, gateway: usize, begins: bool) {
        let mut books = self.books.lock();
        match begins {
            true => books.stopping.insert(gateway, Instant::now()),
            false => books.stopping.shift_remove(&gateway),
        };
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self, gateway: usize) -> bool {
        self.books.lock().stopping.contains_key(&gateway)
    }

    /// Whether nothing was done to a gateway for a while.
    pub(crate) fn is_calm(&self, gateway: usize) -> bool {
        self.books.lock().is_calm(gateway, Instant::now())
    }

    /// The platform is disturbed now.
    pub(crate) fn outage(&self) {
        self.books.lock().outages = Some(Instant::now());
    }

    /// The platform took in that a target is leaving or gone.
    pub(crate) fn leaves(&self, target: &str) {
        self.books.lock().leaving.insert(target.to_owned(), Instant::now());
    }

    /// The platform took in a version of the settings.
    pub(crate) fn published(&self, version: u64) {
        self.books.lock().published.push((version, Instant::now()));
    }

    /// A promise was broken.
    pub(crate) fn violation(&self, text: String) {
        self.books.lock().break_promise(text);
    }

    /// Part of the calls answered in the last seconds.
    pub(crate) fn answered_lately(&self) -> f64 {
        let books = self.books.lock();
        let answered = books.recent.iter().filter(|(_, answered)| *answered).count();
        if books.recent.is_empty() { 0.0 } else { answered as f64 / books.recent.len() as f64 }
    }

    /// Broken promises and counts of outcomes.
    pub(crate) fn close(&self) -> (Vec<String>, IndexMap<&'static str, u64>) {
        let books = self.books.lock();
        (books.violations.clone(), books.counts.clone())
    }
}

impl Books {
    fn break_promise(&mut self, text: String) {
        if self.violations.len() < KEPT {
            self.violations.push(text);
        }
    }

    fn is_calm(&self, gateway: usize, at: Instant) -> bool {
        self.faulted.get(&gateway).is_none_or(|fault| at > *fault + CALM)
    }

    fn is_platform_calm(&self, at: Instant) -> bool {
        self.outages.is_none_or(|outage| at > outage + CALM)
    }

    fn arrive(&mut self, now: Instant, id: u64, service: &str) {
        let first = self.calls.get(&id).is_some_and(|c| c.runs == 0);
        let arrivals = self.arrivals.entry(service.to_owned()).or_default();
        // An arrival that a target turned away leaves no run, so what comes after it counts as a
        // first one too: the figure is a lower bound.
        arrivals.push_back((now, first));
        while arrivals.front().is_some_and(|(at, _)| now - *at > BUDGET_WINDOW) {
            arrivals.pop_front();
        }
        let firsts = arrivals.iter().filter(|(_, first)| *first).count() as f64;
        let seconds = arrivals.len() as f64 - firsts;
        if seconds > firsts * BUDGET_RATIO + BUDGET_SLACK {
            self.break_promise(format!("budget: {seconds} second tries for {firsts} at {service}"));
        }
    }
}
