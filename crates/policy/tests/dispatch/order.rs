//! Order of classes, deadlines, refusals and relays, one matter at a time.

use crate::fixture::{CHECK, PULL, SALE, call, entry_set, ms, plan, target_name, targets};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, PeerSlots, RefusalReason, TargetRefusal,
        UnknownReason,
    },
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

struct Bench {
    dispatcher: Dispatcher,
    now: Timestamp,
}

impl Bench {
    fn new(choice: BalancingPolicy, count: usize, slots: u32) -> Self {
        let dispatcher = Dispatcher::new(Arc::new(plan(choice)), 1);
        let mut bench = Self { dispatcher, now: Timestamp::from_millis(1_000) };
        bench.on(Event::TargetsChanged(targets(count, slots)));
        bench
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    fn arrive(&mut self, id: u64, operation: usize, within: Duration) -> Vec<Action> {
        let call = call(id, "caller", operation, self.now + within);
        self.on(Event::Arrived(call))
    }

    fn answer(&mut self, id: u64, target: usize) -> Vec<Action> {
        let (call, target) = (CallId(id), target_name(target));
        self.on(Event::Answered { call, target, ok: true, elapsed: ms(5), report: None })
    }

    fn fail(&mut self, id: u64, kind: FailureKind, not_executed: bool) -> Vec<Action> {
        let (call, target) = (CallId(id), target_name(0));
        self.on(Event::Failed { call, target, kind, not_executed })
    }
}

fn dispatched(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| match a {
        Action::Dispatch { call, .. } => Some(call.0),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}

#[test]
fn urgent_call_overtakes_patient_one() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 1);
    assert_eq!(dispatched(&bench.arrive(1, CHECK, ms(900))), [1]);
    assert!(bench.arrive(2, PULL, ms(900)).is_empty());
    assert!(bench.arrive(3, CHECK, ms(900)).is_empty());
    assert_eq!(dispatched(&bench.answer(1, 0)), [3]);
    assert_eq!(dispatched(&bench.answer(3, 0)), [2]);
}

#[test]
fn waiting_call_is_refused_at_its_deadline() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 1);
    bench.arrive(1, CHECK, ms(900));
    bench.arrive(2, CHECK, ms(20));
    assert_eq!(bench.dispatcher.next_wakeup(), Some(bench.now + ms(20)));
    bench.now = bench.now + ms(20);
    let actions = bench.on(Event::Tick);
    let [Action::Refuse { call, reason, retry_after }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((call.0, *reason), (2, RefusalReason::Deadline));
    assert!(*retry_after >= ms(1));
}

#[test]
fn call_that_cannot_be_in_time_is_refused_on_arrival() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 1);
    bench.arrive(1, CHECK, ms(900));
    bench.now = bench.now + ms(5);
    bench.answer(1, 0);
    for id in 2..12 {
        bench.arrive(id, CHECK, ms(900));
    }
    let actions = bench.arrive(12, CHECK, ms(20));
    let refused = |a: &Action| {
        matches!(a, Action::Refuse { call: CallId(12), reason: RefusalReason::Deadline, .. })
    };
    assert!(actions.iter().any(refused), "{actions:?}");
}

#[test]
fn call_without_targets_is_refused() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 0, 1);
    let actions = bench.arrive(1, CHECK, ms(900));
    let [Action::Refuse { reason: RefusalReason::NoTarget, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
}

#[test]
fn refused_sale_goes_to_another_target() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 2, 1);
    let actions = bench.arrive(1, SALE, ms(900));
    let [Action::Dispatch { target, .. }] = &actions[..] else { panic!("{actions:?}") };
    let first = Arc::clone(target);
    let event = Event::Refused {
        call: CallId(1),
        target: Arc::clone(&first),
        refusal: TargetRefusal::Busy,
        report: None,
    };
    let actions = bench.on(event);
    let [Action::Dispatch { target, attempt: 2, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_ne!(*target, first);
}

#[test]
fn sale_that_may_have_run_is_unknown_at_once() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 1);
    bench.arrive(1, SALE, ms(900));
    let actions = bench.fail(1, FailureKind::Timeout, false);
    assert_eq!(actions, [Action::Unknown { call: CallId(1), reason: UnknownReason::Timeout }]);
}

#[test]
fn check_that_broke_runs_again_and_is_never_refused_as_not_run() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 1);
    bench.arrive(1, CHECK, ms(900));
    assert!(bench.fail(1, FailureKind::Broken, false).is_empty());
    let at = bench.dispatcher.next_wakeup().expect("backoff");
    bench.now = at;
    assert_eq!(dispatched(&bench.on(Event::Tick)), [1]);
    let busy = Event::Refused {
        call: CallId(1),
        target: target_name(0),
        refusal: TargetRefusal::Draining,
        report: None,
    };
    bench.on(busy);
    bench.now = bench.now + ms(1_000);
    let actions = bench.on(Event::Tick);
    assert_eq!(actions, [Action::Unknown { call: CallId(1), reason: UnknownReason::Broken }]);
}

#[test]
fn draining_target_gets_no_new_call() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 2);
    bench.arrive(1, CHECK, ms(900));
    let refusal = TargetRefusal::Draining;
    bench.on(Event::Refused { call: CallId(1), target: target_name(0), refusal, report: None });
    let actions = bench.arrive(2, CHECK, ms(900));
    let [Action::Refuse { reason: RefusalReason::NoTarget, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
}

#[test]
fn call_goes_to_a_peer_that_told_of_free_slots() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 2, 1);
    let mut set = entry_set(2);
    set[1].free = 1;
    bench.on(Event::PeersChanged(set));
    let mut relayed = Vec::new();
    for id in 0..4 {
        for action in bench.arrive(id, CHECK, ms(900)) {
            if let Action::Relay { call, peer } = action {
                relayed.push((call.0, peer));
            }
        }
    }
    assert_eq!(relayed.len(), 1, "one free slot was told");
    let (id, peer) = relayed.remove(0);
    bench.on(Event::PeerRefused { call: CallId(id), peer });
    assert_eq!(bench.dispatcher.waiting(), 3, "the call is back");
}

#[test]
fn entry_outside_the_set_relays_and_falls_back_to_targets() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 2, 1);
    let peer = PeerSlots { host: "entry-7".into(), free: 0 };
    bench.on(Event::PeersChanged(vec![peer]));
    let actions = bench.arrive(1, SALE, ms(900));
    let host = "entry-7".into();
    assert_eq!(actions, [Action::Relay { call: CallId(1), peer: host }]);
    let event = Event::Failed {
        call: CallId(1),
        target: "entry-7".into(),
        kind: FailureKind::Connect,
        not_executed: true,
    };
    assert_eq!(dispatched(&bench.on(event)), [1]);
    assert_eq!(dispatched(&bench.arrive(2, SALE, ms(900))), [2]);
}

#[test]
fn calls_past_their_deadline_are_not_started_after_a_pause() {
    let mut bench = Bench::new(BalancingPolicy::OwnedShared, 1, 1);
    bench.arrive(1, CHECK, ms(900));
    bench.arrive(2, CHECK, ms(900));
    bench.now = bench.now + ms(5_000);
    let actions = bench.answer(1, 0);
    let [Action::Refuse { call: CallId(2), reason: RefusalReason::Deadline, .. }] = &actions[..]
    else {
        panic!("{actions:?}");
    };
}

/// A caller whose attempt was lost at a silent target is not charged for the target's silence.
#[test]
fn caller_of_a_lost_attempt_is_not_put_behind_all_others() {
    let mut bench = Bench::new(BalancingPolicy::Owned, 1, 2);
    let mut next = 100;
    let mut running: Vec<u64> = Vec::new();
    let first = call(1, "unlucky", CHECK, bench.now + ms(1_500));
    assert_eq!(dispatched(&bench.on(Event::Arrived(first))), [1]);
    for _ in 0..140 {
        bench.now = bench.now + ms(5);
        if let Some(done) = running.pop() {
            running.extend(dispatched(&bench.answer(done, 0)));
        }
        for _ in 0..2 {
            let other = call(next, &format!("c{}", next % 8), CHECK, bench.now + ms(1_500));
            running.extend(dispatched(&bench.on(Event::Arrived(other))));
            next += 1;
        }
    }
    running.extend(dispatched(&bench.fail(1, FailureKind::Timeout, false)));
    for _ in 0..40 {
        bench.now = bench.now + ms(5);
        let Some(done) = running.pop() else { break };
        running.extend(dispatched(&bench.answer(done, 0)));
        if running.contains(&1) {
            return;
        }
    }
    panic!("the call did not start again while 40 others did");
}
