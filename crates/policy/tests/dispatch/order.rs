//! Single-scenario tests of class order, deadlines, refusals, retries and relays.

use crate::fixture::{CHECK, PULL, SALE, call, config, entry_set, ms, target_name, targets};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, PeerSlots, RefusalReason, ServiceConfig,
        TargetRefusal, UnknownReason,
    },
};
use azuretally_settings::BalancingPolicy;
use std::{sync::Arc, time::Duration};

/// A dispatcher with its current time.
struct Harness {
    dispatcher: Dispatcher,
    now: Timestamp,
}

impl Harness {
    fn new(choice: BalancingPolicy, count: usize, slots: u32) -> Self {
        Self::with_config(config(choice), count, slots)
    }

    fn with_config(config: ServiceConfig, count: usize, slots: u32) -> Self {
        let dispatcher = Dispatcher::new(Arc::new(config), 1);
        let mut harness = Self { dispatcher, now: Timestamp::from_millis(1_000) };
        harness.handle(Event::TargetsChanged(targets(count, slots)));
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    fn arrive(&mut self, id: u64, operation: usize, within: Duration) -> Vec<Action> {
        let call = call(id, "caller", operation, self.now + within);
        self.handle(Event::Arrived(call))
    }

    fn answer(&mut self, id: u64, target: usize) -> Vec<Action> {
        let (call, target) = (CallId(id), target_name(target));
        self.handle(Event::Answered { call, target, ok: true, elapsed: ms(5), report: None })
    }

    fn fail(&mut self, id: u64, kind: FailureKind, not_executed: bool) -> Vec<Action> {
        let (call, target) = (CallId(id), target_name(0));
        self.handle(Event::Failed { call, target, kind, not_executed })
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
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 1);
    assert_eq!(dispatched(&harness.arrive(1, CHECK, ms(900))), [1]);
    assert!(harness.arrive(2, PULL, ms(900)).is_empty());
    assert!(harness.arrive(3, CHECK, ms(900)).is_empty());
    assert_eq!(dispatched(&harness.answer(1, 0)), [3]);
    assert_eq!(dispatched(&harness.answer(3, 0)), [2]);
}

#[test]
fn waiting_call_is_refused_at_its_deadline() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 1);
    harness.arrive(1, CHECK, ms(900));
    harness.arrive(2, CHECK, ms(20));
    assert_eq!(harness.dispatcher.next_wakeup(), Some(harness.now + ms(20)));
    harness.now = harness.now + ms(20);
    let actions = harness.handle(Event::Tick);
    let [Action::Refuse { call, reason, retry_after }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((call.0, *reason), (2, RefusalReason::Deadline));
    assert!(*retry_after >= ms(1));
}

#[test]
fn call_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 1);
    harness.arrive(1, CHECK, ms(900));
    harness.now = harness.now + ms(5);
    harness.answer(1, 0);
    for id in 2..12 {
        harness.arrive(id, CHECK, ms(900));
    }
    let actions = harness.arrive(12, CHECK, ms(20));
    let refused = |a: &Action| {
        matches!(a, Action::Refuse { call: CallId(12), reason: RefusalReason::Deadline, .. })
    };
    assert!(actions.iter().any(refused), "{actions:?}");
}

#[test]
fn call_without_targets_is_refused() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 0, 1);
    let actions = harness.arrive(1, CHECK, ms(900));
    let [Action::Refuse { reason: RefusalReason::NoTarget, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
}

#[test]
fn refused_sale_goes_to_another_target() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 2, 1);
    let actions = harness.arrive(1, SALE, ms(900));
    let [Action::Dispatch { target, .. }] = &actions[..] else { panic!("{actions:?}") };
    let first = Arc::clone(target);
    let event = Event::Refused {
        call: CallId(1),
        target: Arc::clone(&first),
        refusal: TargetRefusal::Busy,
        report: None,
    };
    let actions = harness.handle(event);
    let [Action::Dispatch { target, attempt: 2, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_ne!(*target, first);
}

#[test]
fn sale_that_may_have_run_is_reported_as_unknown() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 1);
    harness.arrive(1, SALE, ms(900));
    let actions = harness.fail(1, FailureKind::Timeout, false);
    assert_eq!(actions, [Action::Unknown { call: CallId(1), reason: UnknownReason::Timeout }]);
}

#[test]
fn check_is_retried_after_broken_connection_and_then_never_refused() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 1);
    harness.arrive(1, CHECK, ms(900));
    assert!(harness.fail(1, FailureKind::Broken, false).is_empty());
    let at = harness.dispatcher.next_wakeup().expect("backoff");
    harness.now = at;
    assert_eq!(dispatched(&harness.handle(Event::Tick)), [1]);
    let draining = Event::Refused {
        call: CallId(1),
        target: target_name(0),
        refusal: TargetRefusal::Draining,
        report: None,
    };
    harness.handle(draining);
    harness.now = harness.now + ms(1_000);
    let actions = harness.handle(Event::Tick);
    assert_eq!(actions, [Action::Unknown { call: CallId(1), reason: UnknownReason::Broken }]);
}

#[test]
fn draining_target_gets_no_new_call() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 2);
    harness.arrive(1, CHECK, ms(900));
    let refusal = TargetRefusal::Draining;
    harness.handle(Event::Refused {
        call: CallId(1),
        target: target_name(0),
        refusal,
        report: None,
    });
    let actions = harness.arrive(2, CHECK, ms(900));
    let [Action::Refuse { reason: RefusalReason::NoTarget, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
}

#[test]
fn call_is_relayed_to_peer_with_free_slots() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 2, 1);
    let mut set = entry_set(2);
    set[1].free = 1;
    harness.handle(Event::PeersChanged(set));
    let mut relayed = Vec::new();
    for id in 0..4 {
        for action in harness.arrive(id, CHECK, ms(900)) {
            if let Action::Relay { call, peer } = action {
                relayed.push((call.0, peer));
            }
        }
    }
    assert_eq!(relayed.len(), 1, "the peer reported one free slot");
    let (id, peer) = relayed.remove(0);
    harness.handle(Event::PeerRefused { call: CallId(id), peer });
    assert_eq!(harness.dispatcher.waiting(), 3, "the refused call waits again");
}

#[test]
fn entry_outside_the_set_relays_and_falls_back_to_targets() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 2, 1);
    let peer = PeerSlots { host: "entry-7".into(), free: 0 };
    harness.handle(Event::PeersChanged(vec![peer]));
    let actions = harness.arrive(1, SALE, ms(900));
    let host = "entry-7".into();
    assert_eq!(actions, [Action::Relay { call: CallId(1), peer: host }]);
    let event = Event::Failed {
        call: CallId(1),
        target: "entry-7".into(),
        kind: FailureKind::Connect,
        not_executed: true,
    };
    assert_eq!(dispatched(&harness.handle(event)), [1]);
    assert_eq!(dispatched(&harness.arrive(2, SALE, ms(900))), [2]);
}

#[test]
fn calls_past_their_deadline_are_not_started_after_a_pause() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 1, 1);
    harness.arrive(1, CHECK, ms(900));
    harness.arrive(2, CHECK, ms(900));
    harness.now = harness.now + ms(5_000);
    let actions = harness.answer(1, 0);
    let [Action::Refuse { call: CallId(2), reason: RefusalReason::Deadline, .. }] = &actions[..]
    else {
        panic!("{actions:?}");
    };
}

/// Guards against charging a caller for the time that its attempt spent at a silent target. Such a
/// charge moves the caller's start tag far ahead in the fair queue, so its retry starts only after
/// many calls of other callers.
#[test]
fn caller_is_not_charged_for_silence_of_target() {
    let mut harness = Harness::new(BalancingPolicy::Owned, 1, 2);
    let mut next = 100;
    let mut running: Vec<u64> = Vec::new();
    let first = call(1, "unlucky", CHECK, harness.now + ms(1_500));
    assert_eq!(dispatched(&harness.handle(Event::Arrived(first))), [1]);
    for _ in 0..140 {
        harness.now = harness.now + ms(5);
        if let Some(done) = running.pop() {
            running.extend(dispatched(&harness.answer(done, 0)));
        }
        for _ in 0..2 {
            let other = call(next, &format!("c{}", next % 8), CHECK, harness.now + ms(1_500));
            running.extend(dispatched(&harness.handle(Event::Arrived(other))));
            next += 1;
        }
    }
    running.extend(dispatched(&harness.fail(1, FailureKind::Timeout, false)));
    for _ in 0..40 {
        harness.now = harness.now + ms(5);
        let Some(done) = running.pop() else { break };
        running.extend(dispatched(&harness.answer(done, 0)));
        if running.contains(&1) {
            return;
        }
    }
    panic!("the call was not retried while 40 others started");
}

/// Guards against a class with a floor that gets all free slots of a peer: relayed calls must use
/// up the credit of their class like calls at targets.
#[test]
fn relayed_calls_use_up_the_floor_of_their_class() {
    const FREE_SLOTS: u32 = 4;
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 2, 1);
    harness.handle(Event::PeersChanged(entry_set(2)));
    for id in 0..20 {
        harness.arrive(id, if id % 2 == 0 { CHECK } else { PULL }, ms(900));
    }
    // In 20 ms, a floor of 5% of one slot earns the patient class 1 ms of slot time, which is the
    // expected time of one call.
    harness.now = harness.now + ms(20);
    let mut set = entry_set(2);
    set[1].free = FREE_SLOTS;
    let actions = harness.handle(Event::PeersChanged(set));
    let relayed = actions.iter().filter_map(|a| match a {
        Action::Relay { call, .. } => Some(call.0),
        _ => None,
    });
    let relayed: Vec<_> = relayed.collect();
    assert_eq!(relayed.len(), FREE_SLOTS as usize, "{actions:?}");
    let patient = relayed.iter().filter(|id| *id % 2 == 1).count();
    assert_eq!(patient, 1, "relayed calls: {relayed:?}");
}

/// Starts of patient calls in `time` at four slots with a floor of 5% and no starvation limit, when
/// urgent calls, which take `urgent`, and patient calls, which take `patient`, have all arrived before
/// the first answer.
fn patient_starts(urgent: Duration, patient: Duration, time: Duration) -> usize {
    const URGENT: u64 = 1_800;
    const PATIENT: u64 = 200;
    let mut settings = config(BalancingPolicy::Owned);
    settings.queue_limit = 4_000;
    settings.classes[1].starvation_limit = None;
    let mut harness = Harness::with_config(settings, 2, 2);
    let end = harness.now + time;
    let mut running: Vec<(Timestamp, CallId, Arc<str>)> = Vec::new();
    let mut starts = 0;
    let mut actions = Vec::new();
    for id in 0..URGENT + PATIENT {
        actions.extend(harness.arrive(id, if id < URGENT { CHECK } else { PULL }, time * 10));
    }
    while harness.now < end {
        for action in actions.drain(..) {
            let Action::Dispatch { call, target, .. } = action else { panic!("{action:?}") };
            let is_patient = call.0 >= URGENT;
            starts += usize::from(is_patient);
            let duration = if is_patient { patient } else { urgent };
            running.push((harness.now + duration, call, target));
        }
        harness.now = harness.now + ms(1);
        while let Some(index) = running.iter().position(|(at, ..)| *at <= harness.now) {
            let (at, call, target) = running.swap_remove(index);
            let elapsed = if call.0 >= URGENT { patient } else { urgent };
            assert_eq!(at, harness.now);
            let event = Event::Answered { call, target, ok: true, elapsed, report: None };
            actions.extend(harness.handle(event));
        }
    }
    let waiting = harness.dispatcher.waiting();
    assert!(waiting > PATIENT as usize, "no urgent call waits");
    starts
}

/// Guards against a lower class that gets far more than its floor, because calls that were queued
/// before the first answer are charged the service time assumed until then.
#[test]
fn calls_queued_before_the_first_answer_keep_to_the_floor() {
    // 5% of 80 calls of 100 ms that four slots run in 2 s.
    let starts = patient_starts(ms(100), ms(100), ms(2_000));
    assert!((3..=5).contains(&starts), "patient calls started: {starts}");
}

/// Guards against a lower class that gets more than its floor, because its calls take longer than
/// expected and are not charged for it.
#[test]
fn calls_that_take_longer_than_expected_use_up_the_floor() {
    // 5% of the 16 s of slot time in 4 s, in calls of 100 ms.
    let starts = patient_starts(ms(10), ms(100), ms(4_000));
    assert!((6..=9).contains(&starts), "patient calls started: {starts}");
}

/// Guards against relayed calls that a peer did not run and that use up the credit of their class.
#[test]
fn relayed_call_that_the_peer_refuses_uses_up_no_floor() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 2, 1);
    harness.handle(Event::PeersChanged(entry_set(2)));
    let actions = harness.arrive(0, CHECK, ms(900));
    let [Action::Dispatch { call: first, target, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    for id in 1..20 {
        harness.arrive(id, if id % 2 == 0 { CHECK } else { PULL }, ms(900));
    }
    harness.now = harness.now + ms(20);
    let mut set = entry_set(2);
    set[1].free = 1;
    let actions = harness.handle(Event::PeersChanged(set));
    let [Action::Relay { call, peer }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(call.0 % 2, 1, "the floor is due first");
    harness.handle(Event::PeerRefused { call: *call, peer: Arc::clone(peer) });
    let (call, target, elapsed) = (*first, Arc::clone(target), ms(1));
    let answer = Event::Answered { call, target, ok: true, elapsed, report: None };
    let next = dispatched(&harness.handle(answer));
    assert_eq!(next.len(), 1, "{next:?}");
    assert_eq!(next[0] % 2, 1, "the floor is due again");
}

/// Guards against relayed calls that are lost when the settings change while they run.
#[test]
fn relayed_call_ends_once_after_a_change_of_settings() {
    let mut harness = Harness::new(BalancingPolicy::OwnedShared, 2, 1);
    let mut set = entry_set(2);
    set[1].free = 1;
    harness.handle(Event::PeersChanged(set));
    let actions: Vec<_> = (0..4).flat_map(|id| harness.arrive(id, CHECK, ms(900))).collect();
    let relay = |a: &Action| match a {
        Action::Relay { call, peer } => Some((*call, Arc::clone(peer))),
        _ => None,
    };
    let (call, peer) = actions.iter().find_map(relay).expect("a relayed call");
    harness.handle(Event::ConfigChanged(Arc::new(config(BalancingPolicy::OwnedShared))));
    harness.now = harness.now + ms(10);
    assert_eq!(harness.handle(Event::PeerDone { call, peer: Arc::clone(&peer) }), []);
    assert_eq!(harness.handle(Event::PeerRefused { call, peer }), []);
    assert_eq!(harness.dispatcher.waiting(), 2);
}
