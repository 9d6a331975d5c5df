//! Circuit breakers of targets.

use crate::fixture::{CHECK, call, config, ms, target_name, targets};
use azuretally_policy::{
    Timestamp,
    dispatch::{Action, CallId, Dispatcher, Event, FailureKind},
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

/// Time after which an open breaker allows a trial call.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// A dispatcher of one target, with the time and the number of calls so far.
struct Harness {
    dispatcher: Dispatcher,
    now: Timestamp,
    calls: u64,
}

impl Harness {
    fn new(choice: BalancingPolicy, slots: u32) -> Self {
        let dispatcher = Dispatcher::new(Arc::new(config(choice)), 1);
        let mut harness = Self { dispatcher, now: Timestamp::from_millis(1_000), calls: 0 };
        harness.handle(Event::TargetsChanged(targets(1, slots)));
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Returns the next call if it is sent at once; otherwise it is withdrawn.
    fn start_call(&mut self) -> Option<CallId> {
        self.calls += 1;
        let deadline = self.now + ms(900);
        let call = call(self.calls, "caller", CHECK, deadline);
        let id = call.id;
        let actions = self.handle(Event::Arrived(call));
        if actions.iter().any(|a| matches!(a, Action::Dispatch { .. })) {
            return Some(id);
        }
        self.handle(Event::CallerDisconnected(id));
        None
    }

    fn fail(&mut self, call: CallId, kind: FailureKind) {
        let (target, not_executed) = (target_name(0), kind == FailureKind::Connect);
        self.handle(Event::Failed { call, target, kind, not_executed });
        self.handle(Event::CallerDisconnected(call));
    }
}

/// Guards against a target that gets no calls for good, because the trial call after its failures
/// ended before its time limit said anything about the target.
#[test]
fn trial_call_with_a_short_time_limit_is_followed_by_another() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    while let Some(call) = harness.start_call() {
        harness.fail(call, FailureKind::Broken);
    }
    harness.now = harness.now + OPEN_TIME;
    let trial = harness.start_call().expect("a trial call");
    harness.now = harness.now + ms(1);
    harness.fail(trial, FailureKind::Timeout);
    harness.now = harness.now + OPEN_TIME;
    assert!(harness.start_call().is_some(), "no further trial call");
}

/// Guards against blaming a target for attempts that failed because the own process was paused.
#[test]
fn attempts_from_before_a_pause_do_not_open_the_breaker() {
    const ATTEMPTS: u32 = 8;
    for kind in [FailureKind::Connect, FailureKind::Broken, FailureKind::Timeout] {
        let mut harness = Harness::new(BalancingPolicy::Random, ATTEMPTS);
        let started: Vec<_> = (0..ATTEMPTS).filter_map(|_| harness.start_call()).collect();
        assert_eq!(started.len(), ATTEMPTS as usize);
        harness.now = harness.now + ms(600);
        harness.handle(Event::ProcessPaused(ms(600)));
        for call in started {
            harness.fail(call, kind);
        }
        assert!(harness.start_call().is_some(), "{kind:?}");
    }
}

/// As above, for a pause that shows before the dispatcher hears of it.
#[test]
fn failures_by_a_pause_do_not_open_the_breaker() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    for _ in 0..20 {
        let call = harness.start_call().expect("the breaker is closed");
        harness.now = harness.now + ms(600);
        harness.fail(call, FailureKind::Paused);
    }
}
