//! Targets that say in their answers that they leave, while the platform lists them as serving.

use crate::fixture::{Fixture, LOCAL, answered_at, expect_start, ms, record, route, successor};
use azuretally_policy::{
    Timestamp,
    balance::{AttemptOutcome, Change, Decision, GiveUpReason, ProcessId, TargetRecord},
};
use std::sync::Arc;

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered { ok: true, bytes: 100 };

impl Fixture {
    /// Lets an answer of the target say that it leaves. Returns whether that was news.
    fn depart(&mut self, now: Timestamp, number: u8) -> bool {
        self.depart_later(now, now, number)
    }

    /// The same for an answer to a request that was sent at `sent`.
    fn depart_later(&mut self, now: Timestamp, sent: Timestamp, number: u8) -> bool {
        let TargetRecord { service, name, started, .. } = record(number, LOCAL);
        let process = ProcessId::new(&name, started);
        self.balancer.record_departure(answered_at(now, sent), &service, &name, process)
    }

    fn target_of_next_call(&mut self, now: Timestamp) -> Option<Arc<str>> {
        let (id, decision) = self.submit(now, &route("check", true));
        let target = match decision {
            Decision::Start(start) => Some(start.target),
            Decision::GiveUp { reason, not_run, .. } => {
                assert_eq!((reason, not_run), (GiveUpReason::NoTarget, true));
                None
            }
            other => panic!("{other:?}"),
        };
        self.balancer.forget(id);
        target
    }
}

/// Targets that had said that they leave got calls for as long as the platform listed them.
#[test]
fn target_that_says_that_it_leaves_gets_no_further_calls() {
    let mut fixture = Fixture::new(2, 0);
    assert!(fixture.depart(ms(0), 0));
    assert!(!fixture.depart(ms(10), 0), "logged and counted once");
    for now in (0..10_000).step_by(500) {
        assert_eq!(fixture.target_of_next_call(ms(now)).as_deref(), Some("target-1"));
    }
}

/// Calls were held, or sent to leaving targets, when all of a service leave.
#[test]
fn calls_are_refused_at_once_when_all_targets_leave() {
    let mut fixture = Fixture::new(2, 0);
    fixture.depart(ms(0), 0);
    fixture.depart(ms(0), 1);
    assert_eq!(fixture.target_of_next_call(ms(0)), None);
}

/// A call that ran at a leaving target was broken off, or its answer was not used.
#[test]
fn call_under_way_at_a_leaving_target_is_finished() {
    let mut fixture = Fixture::new(1, 0);
    let (id, decision) = fixture.submit(ms(0), &route("check", true));
    let target = expect_start(decision).target;
    fixture.depart(ms(10), 0);
    assert_eq!(fixture.end_attempt(ms(20), id, &target, ANSWERED, None), Decision::Deliver);
}

/// The mark was lost with a record that lapsed, moved, or was written again as serving.
#[test]
fn departure_outlives_the_record_of_its_target() {
    let mut fixture = Fixture::new(2, 0);
    fixture.depart(ms(0), 0);
    fixture.apply_changes(ms(100), vec![Change::Gone(Arc::from("target-0"))]);
    fixture.apply_changes(ms(60_000), vec![Change::Target(record(0, LOCAL))]);
    assert_eq!(fixture.target_of_next_call(ms(60_000)).as_deref(), Some("target-1"));
    let moved = TargetRecord { address: record(7, LOCAL).address, ..record(0, LOCAL) };
    fixture.apply_changes(ms(60_100), vec![Change::Target(moved)]);
    assert_eq!(fixture.target_of_next_call(ms(60_100)).as_deref(), Some("target-1"));
}

/// A process that takes the name of a leaving one was never used.
#[test]
fn new_process_of_the_same_name_does_not_leave() {
    let mut fixture = Fixture::new(1, 0);
    fixture.depart(ms(0), 0);
    fixture.apply_changes(ms(500), vec![Change::Target(successor(0, 400))]);
    assert!(!fixture.depart_later(ms(510), ms(50), 0), "a late answer of the process before it");
    assert_eq!(fixture.target_of_next_call(ms(520)).as_deref(), Some("target-0"));
}

/// Leaving targets were probed, and asked whether this gateway reaches any target.
#[test]
fn leaving_target_is_not_asked() {
    let mut fixture = Fixture::before_first_answer(2, 0);
    fixture.depart(ms(0), 0);
    fixture.submit(ms(10), &route("check", true));
    let probes = fixture.balancer.take_probes();
    let asked = fixture.balancer.start_reach_check(ms(20));
    let names: Vec<_> = probes.iter().chain(&asked).map(|p| &*p.target).collect();
    assert!(names.iter().all(|name| *name == "target-1"), "{names:?}");
}

/// A request was sent although the target had said that it leaves while the connection was opened.
#[test]
fn leaving_target_wants_no_request_that_was_decided_before() {
    let mut fixture = Fixture::new(1, 0);
    let (id, decision) = fixture.submit(ms(0), &route("check", true));
    let target = expect_start(decision).target;
    assert!(fixture.begin_request(ms(0), id, &target));
    fixture.depart(ms(1), 0);
    assert!(!fixture.begin_request(ms(2), id, &target));
}

/// The mark of a process that said so before its record was known was booked to the process before it,
/// and forgotten with that. It gets no calls for some seconds, and then one.
#[test]
fn departure_said_before_the_record_is_known_holds_calls_back() {
    let mut fixture = Fixture::new(2, 0);
    fixture.depart(ms(1_000), 0);
    fixture.apply_changes(ms(1_500), vec![Change::Target(successor(0, 900))]);
    for now in (1_500..11_000).step_by(500) {
        assert_eq!(fixture.target_of_next_call(ms(now)).as_deref(), Some("target-1"), "{now} ms");
    }
}

/// A clock that is wrong must not take a new process out of service for good.
#[test]
fn process_that_may_have_said_so_is_tried_later() {
    let mut fixture = Fixture::new(1, 0);
    fixture.depart(ms(1_000), 0);
    fixture.apply_changes(ms(1_500), vec![Change::Target(successor(0, 900))]);
    assert_eq!(fixture.target_of_next_call(ms(11_000)).as_deref(), Some("target-0"));
}

/// The mark of a process whose record came while it had the request was dropped, since the request had been
/// meant for the process before it. A target that says it for a short time got calls as long as it ran.
#[test]
fn departure_said_while_the_record_comes_is_kept() {
    let mut fixture = Fixture::new(2, 0);
    fixture.apply_changes(ms(1_500), vec![Change::Target(successor(0, 900))]);
    assert!(fixture.depart_later(ms(1_510), ms(1_490), 0));
    for now in (1_510..20_000).step_by(500) {
        assert_eq!(fixture.target_of_next_call(ms(now)).as_deref(), Some("target-1"), "{now} ms");
    }
}

/// Guards against requests to a target that rests, under the name of a process that had its address before: a
/// restored platform lists it again.
#[test]
fn record_of_an_earlier_process_at_an_address_is_not_used() {
    let mut fixture = Fixture::before_first_answer(1, 0);
    let former = record(0, LOCAL);
    let later = TargetRecord {
        name: Arc::from("later"),
        started: former.started.map(|started| started + 5_000),
        ..former.clone()
    };
    for changes in [vec![later.clone()], vec![former.clone()]] {
        fixture.apply_changes(ms(10), changes.into_iter().map(Change::Target).collect());
        let (_, decision) = fixture.submit(ms(20), &route("check", true));
        assert_eq!(decision, Decision::Wait);
        let probed: Vec<Arc<str>> =
            fixture.balancer.take_probes().into_iter().map(|probe| probe.target).collect();
        assert!(probed.iter().all(|target| *target == later.name), "{probed:?}");
        let asked = fixture.balancer.start_reach_check(ms(20));
        assert!(asked.iter().all(|probe| probe.target == later.name), "{asked:?}");
        fixture.balancer.reach_checked(ms(20), 1, 1);
    }
    // Once the later one has gone, nothing speaks against the other one.
    fixture.apply_changes(ms(30), vec![Change::Gone(later.name)]);
    let asked = fixture.balancer.start_reach_check(ms(40));
    assert!(asked.iter().any(|probe| probe.target == former.name), "{asked:?}");
}
