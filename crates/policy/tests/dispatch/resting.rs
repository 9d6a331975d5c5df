//! Targets that ask for rest.

use crate::fixture::{CHECK, CHOICES, SALE, call, config, ms, target_name, targets};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, RefusalReason, ServiceConfig, TargetNotice,
        TargetRefusal,
    },
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

const START_MS: u64 = 1_000;

struct Harness {
    dispatcher: Dispatcher,
    now: Timestamp,
    next_id: u64,
}

impl Harness {
    fn new(choice: BalancingPolicy, count: usize) -> Self {
        Self::with_config(config(choice), count)
    }

    fn with_config(config: ServiceConfig, count: usize) -> Self {
        let dispatcher = Dispatcher::new(Arc::new(config), 1);
        let mut harness = Self { dispatcher, now: Timestamp::from_millis(START_MS), next_id: 0 };
        harness.handle(Event::TargetsChanged(targets(count, 2)));
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the time and handles all wakeups on the way.
    fn advance(&mut self, duration: Duration) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while let Some(at) = self.dispatcher.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at) + Duration::from_micros(1);
            self.dispatcher.handle(self.now, Event::Tick, &mut actions);
        }
        self.now = self.now.max(end);
        self.dispatcher.handle(self.now, Event::Tick, &mut actions);
        actions
    }

    fn arrive(&mut self, within: Duration) -> Vec<Action> {
        self.arrive_for(CHECK, within)
    }

    fn arrive_for(&mut self, operation: usize, within: Duration) -> Vec<Action> {
        self.next_id += 1;
        let mut call = call(self.next_id, "caller", operation, self.now + within);
        call.relayable = false;
        self.handle(Event::Arrived(call))
    }

    fn ask(&mut self, target: usize, rest: Duration, incarnation: Option<&str>) -> Vec<Action> {
        let notice = TargetNotice {
            incarnation: incarnation.map(Arc::from),
            rest: Some(rest),
            draining: false,
        };
        self.handle(Event::Noticed { target: target_name(target), notice })
    }

    fn answer(&mut self, id: u64, target: usize) -> Vec<Action> {
        let (call, target) = (CallId(id), target_name(target));
        self.handle(Event::Answered { call, target, ok: true, elapsed: ms(5), report: None })
    }

    fn refuse(&mut self, id: u64, target: usize) -> Vec<Action> {
        let (call, target, refusal) = (CallId(id), target_name(target), TargetRefusal::Busy);
        self.handle(Event::Refused { call, target, refusal, report: None })
    }
}

fn dispatched(actions: &[Action]) -> Vec<(u64, Arc<str>)> {
    let start = |a: &Action| match a {
        Action::Dispatch { call, target, .. } => Some((call.0, Arc::clone(target))),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn refused(actions: &[Action]) -> Vec<(u64, RefusalReason, Duration)> {
    let refusal = |a: &Action| match a {
        Action::Refuse { call, reason, retry_after } => Some((call.0, *reason, *retry_after)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against calls, of any kind and with any way of choosing, sent to a target that rests.
#[test]
fn resting_target_gets_no_calls() {
    for choice in CHOICES {
        for operation in [CHECK, SALE] {
            let mut harness = Harness::new(choice, 2);
            harness.ask(0, ms(3_000), None);
            let mut started = Vec::new();
            for _ in 0..50 {
                let mut actions = harness.arrive_for(operation, ms(500));
                actions.extend(harness.advance(ms(50)));
                let id = harness.next_id;
                actions.extend(harness.answer(id, 1));
                started.extend(dispatched(&actions));
            }
            let resting = target_name(0);
            assert!(started.iter().all(|(_, t)| *t != resting), "{choice:?}: {started:?}");
            assert!(started.len() >= 50, "{choice:?}: {} of 50 calls started", started.len());
        }
    }
}

/// Guards against a resting target that gets calls because all targets rest, and against calls that
/// then wait until their deadline.
#[test]
fn calls_are_refused_at_once_while_all_targets_rest() {
    for choice in CHOICES {
        let mut harness = Harness::new(choice, 2);
        harness.ask(0, ms(5_000), None);
        harness.ask(1, ms(3_000), None);
        for _ in 0..20 {
            let actions = harness.arrive(ms(900));
            assert!(dispatched(&actions).is_empty(), "{choice:?}: {actions:?}");
            let refused = refused(&actions);
            let [(_, reason, retry_after)] = refused[..] else { panic!("{choice:?}: {actions:?}") };
            assert_eq!(reason, RefusalReason::NoTarget);
            let left = Timestamp::from_millis(START_MS + 3_000).since(harness.now);
            assert!(retry_after >= left && retry_after <= left * 2, "{choice:?}: {retry_after:?}");
            harness.advance(ms(50));
        }
    }
}

/// Guards against refusals of calls that can still be in time after the rest.
#[test]
fn call_that_can_be_in_time_waits_for_the_end_of_the_rest() {
    for choice in CHOICES {
        let mut harness = Harness::new(choice, 1);
        harness.ask(0, ms(400), None);
        let mut actions = harness.arrive(ms(900));
        actions.extend(harness.advance(ms(399)));
        assert_eq!((dispatched(&actions), refused(&actions)), (vec![], vec![]), "{choice:?}");
        let actions = harness.advance(ms(400));
        assert_eq!(dispatched(&actions), [(1, target_name(0))], "{choice:?}");
    }
}

/// Guards against calls sent after the rest that cannot end before their deadline any more, while few
/// service times are known: their outcome is unknown, and the work in vain. Choices that send each call at
/// once try again later instead.
#[test]
fn call_that_has_no_time_to_run_after_the_rest_is_refused_at_once() {
    for choice in [BalancingPolicy::Owned, BalancingPolicy::OwnedShared] {
        let mut harness = Harness::new(choice, 1);
        harness.arrive(ms(900));
        harness.answer(1, 0);
        harness.ask(0, ms(400), None);
        let actions = harness.arrive(ms(410));
        assert_eq!(refused(&actions).len(), 1, "{choice:?}: {actions:?}");
        let mut actions = harness.arrive(ms(430));
        actions.extend(harness.advance(ms(430)));
        assert_eq!(dispatched(&actions), [(3, target_name(0))], "{choice:?}: {actions:?}");
    }
}

/// Guards against calls in the queue that wait until their deadline once the last target rests.
#[test]
fn waiting_calls_are_refused_when_the_last_target_rests() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    for _ in 0..4 {
        harness.arrive(ms(900));
    }
    let mut actions = harness.ask(0, ms(3_000), None);
    actions.extend(harness.refuse(1, 0));
    let mut ids: Vec<_> = refused(&actions).iter().map(|r| r.0).collect();
    ids.sort_unstable();
    assert_eq!(ids, [1, 3, 4], "call 2 still runs: {actions:?}");
}

/// Guards against a shorter rest, or an answer to a call sent before, that ends the longer one.
#[test]
fn longest_rest_counts() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    harness.arrive(ms(900));
    harness.arrive(ms(900));
    harness.ask(0, ms(3_000), None);
    harness.refuse(1, 0);
    harness.ask(0, ms(100), None);
    harness.answer(2, 0);
    harness.advance(ms(2_900));
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
}

/// Guards against a rest of hostile length.
#[test]
fn rest_is_capped() {
    let config = ServiceConfig { max_rest: ms(2_000), ..config(BalancingPolicy::Owned) };
    let mut harness = Harness::with_config(config, 1);
    harness.ask(0, Duration::MAX, None);
    harness.advance(ms(1_999));
    assert!(dispatched(&harness.arrive(ms(0))).is_empty());
    harness.advance(ms(2));
    assert_eq!(dispatched(&harness.arrive(ms(500))).len(), 1);
}

/// Guards against all waiting calls reaching a target at the end of its rest.
#[test]
fn one_call_at_a_time_tries_a_target_after_its_rest() {
    for choice in CHOICES {
        let mut harness = Harness::new(choice, 1);
        harness.ask(0, ms(200), None);
        let mut actions = Vec::new();
        for _ in 0..4 {
            actions.extend(harness.arrive(ms(5_000)));
        }
        actions.extend(harness.advance(ms(400)));
        let first = dispatched(&actions);
        assert_eq!(first.len(), 1, "{choice:?}: {first:?}");
        // The trial meets a further rest.
        let mut actions = harness.ask(0, ms(200), None);
        actions.extend(harness.refuse(first[0].0, 0));
        actions.extend(harness.advance(ms(199)));
        assert!(dispatched(&actions).is_empty(), "{choice:?}: {actions:?}");
        let second = dispatched(&harness.advance(ms(300)));
        assert_eq!(second.len(), 1, "{choice:?}: {second:?}");
    }
}

/// Guards against a target that is tried for good: the trial ends with its answer.
#[test]
fn answer_after_the_rest_ends_the_trial() {
    for choice in CHOICES {
        let mut harness = Harness::new(choice, 1);
        harness.ask(0, ms(200), None);
        let mut actions = Vec::new();
        for _ in 0..4 {
            actions.extend(harness.arrive(ms(5_000)));
        }
        actions.extend(harness.advance(ms(400)));
        let trial = dispatched(&actions)[0].0;
        let mut actions = harness.answer(trial, 0);
        actions.extend(harness.advance(ms(300)));
        assert!(dispatched(&actions).len() >= 2, "{choice:?}: {actions:?}");
    }
}

/// Guards against an answer to a call sent before the rest that ends the trial after it.
#[test]
fn answer_to_an_earlier_call_does_not_end_the_trial() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    harness.arrive_for(SALE, ms(900));
    harness.ask(0, ms(100), None);
    harness.advance(ms(150));
    harness.answer(1, 0);
    harness.arrive(ms(500));
    assert!(dispatched(&harness.arrive(ms(500))).is_empty(), "two calls try the target");
}

/// Guards against a rest that a new process inherits from the one that asked for it.
#[test]
fn new_incarnation_has_asked_for_nothing() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    harness.ask(0, ms(3_000), Some("a"));
    let notice =
        |i: &str| TargetNotice { incarnation: Some(i.into()), rest: None, draining: false };
    harness.handle(Event::Noticed { target: target_name(0), notice: notice("a") });
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
    harness.handle(Event::Noticed { target: target_name(0), notice: notice("b") });
    assert_eq!(dispatched(&harness.arrive(ms(50))).len(), 1);
}

/// As above, for a new incarnation that only the host list names. A list that lags and still names
/// an earlier incarnation ends nothing.
#[test]
fn new_incarnation_in_the_host_list_ends_a_rest() {
    let listed = |incarnation: &str| {
        let mut infos = targets(1, 2);
        infos[0].incarnation = Some(incarnation.into());
        Event::TargetsChanged(infos)
    };
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    harness.handle(listed("a"));
    harness.ask(0, ms(3_000), Some("b"));
    harness.handle(listed("a"));
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
    harness.handle(listed("b"));
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
    harness.handle(listed("c"));
    assert_eq!(dispatched(&harness.arrive(ms(50))).len(), 1);
}

/// Guards against a rest that a reload, or a record that lapses and returns, ends.
#[test]
fn rest_survives_reloads_and_returning_records() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    harness.ask(0, ms(3_000), None);
    let changed = ServiceConfig { revision: 2, ..config(BalancingPolicy::RoundRobin) };
    harness.handle(Event::ConfigChanged(Arc::new(changed)));
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
    harness.handle(Event::TargetsChanged(Vec::new()));
    harness.advance(ms(1_000));
    harness.handle(Event::TargetsChanged(targets(1, 2)));
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
    harness.handle(Event::ProcessPaused(ms(300)));
    assert!(dispatched(&harness.arrive(ms(50))).is_empty());
}

/// Guards against probes of a resting target, which count as requests too.
#[test]
fn resting_target_is_not_probed() {
    let config = ServiceConfig { probe_share: 1.0, ..config(BalancingPolicy::Owned) };
    let mut harness = Harness::with_config(config, 1);
    harness.ask(0, ms(20_000), None);
    let probes =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    assert_eq!(probes(&harness.advance(ms(19_900))), 0);
}

/// Guards against hedges and retries sent to a resting target.
#[test]
fn resting_target_gets_no_hedges_and_retries() {
    let config =
        ServiceConfig { hedge_ratio: 1.0, retry_ratio: 1.0, ..config(BalancingPolicy::Owned) };
    let mut harness = Harness::with_config(config, 2);
    harness.ask(0, ms(5_000), None);
    let mut actions = harness.arrive(ms(2_000));
    actions.extend(harness.advance(ms(500)));
    let (call, target) = (CallId(1), target_name(1));
    let kind = FailureKind::Broken;
    actions.extend(harness.handle(Event::Failed { call, target, kind, not_executed: false }));
    actions.extend(harness.advance(ms(500)));
    let started = dispatched(&actions);
    assert!(started.iter().all(|(_, t)| *t == target_name(1)), "{started:?}");
    assert!(started.len() >= 2, "{started:?}");
}

/// Guards against requests in a rest of which the entry has not heard, because the caller of the trial
/// call left before the answer that asked for it was read.
#[test]
fn trial_without_an_answer_is_followed_by_another_rest() {
    const REST: Duration = Duration::from_secs(3);
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    assert_eq!(dispatched(&harness.arrive(ms(900))).len(), 1);
    harness.ask(0, REST, None);
    harness.refuse(1, 0);
    harness.handle(Event::CallerDisconnected(CallId(1)));
    harness.advance(REST);
    assert_eq!(dispatched(&harness.arrive(ms(900))).len(), 1, "no trial call");
    harness.handle(Event::CallerDisconnected(CallId(2)));
    let mut sent = 0;
    for _ in 0..250 {
        harness.advance(ms(10));
        let actions = harness.arrive(ms(100));
        let id = harness.next_id;
        if !dispatched(&actions).is_empty() {
            sent += 1;
            harness.refuse(id, 0);
        }
        harness.handle(Event::CallerDisconnected(CallId(id)));
    }
    assert_eq!(sent, 0, "requests in the rest");
    harness.advance(REST);
    assert_eq!(dispatched(&harness.arrive(ms(900))).len(), 1, "the rest does not end");
}

/// Guards against a target that is left alone for longer although the trial call was never sent.
#[test]
fn trial_that_was_not_sent_is_repeated() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1);
    harness.arrive(ms(900));
    harness.ask(0, ms(100), None);
    harness.refuse(1, 0);
    harness.handle(Event::CallerDisconnected(CallId(1)));
    harness.advance(ms(100));
    assert_eq!(dispatched(&harness.arrive(ms(900))).len(), 1, "no trial call");
    let (call, target, kind) = (CallId(2), target_name(0), FailureKind::Connect);
    let event = Event::Failed { call, target, kind, not_executed: true };
    assert_eq!(dispatched(&harness.handle(event)).len(), 1);
}
