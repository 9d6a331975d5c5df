//! Targets of evacuated failure domains: nothing is sent to them, and calls go to the others.

use crate::fixture::{Fixture, LOCAL, expect_start, ms, record, route};
use azuretally_policy::{
    Timestamp,
    balance::{
        AttemptOutcome, Change, CrashEvidence, Decision, Failure, GiveUpReason, HedgeDecision,
        NewAttempt, TargetRecord,
    },
};
use std::sync::Arc;

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered { ok: true, bytes: 100 };
const REMOTE: &str = "b";

impl Fixture {
    fn evacuate(&mut self, now: Timestamp, domain: &str) {
        self.set_evacuated(now, domain, true);
    }

    fn set_evacuated(&mut self, now: Timestamp, domain: &str, active: bool) {
        self.apply_changes(now, vec![Change::Evacuation { domain: Arc::from(domain), active }]);
    }

    /// Lets an attempt at a local target break off.
    fn break_off(&mut self, now: Timestamp) {
        let (id, attempt) = self.started(now);
        let broken = AttemptOutcome::Failed { failure: Failure::Broken, sent: true };
        self.end_attempt(now, id, &attempt.target, broken, None);
    }

    /// Starts a call that may run twice, as its first attempt.
    fn started(&mut self, now: Timestamp) -> (u64, NewAttempt) {
        let (id, decision) = self.submit(now, &route("check", true));
        (id, expect_start(decision))
    }
}

fn is_remote(target: &str) -> bool {
    target == "target-100" || target == "target-101"
}

fn expect_evacuated(decision: &Decision) {
    let Decision::GiveUp { reason, not_run, retry_after } = decision else {
        panic!("{decision:?}")
    };
    assert_eq!((*reason, *not_run), (GiveUpReason::Evacuated, true));
    assert_eq!(reason.as_str(), "evacuated");
    assert!(!retry_after.is_zero());
}

#[test]
fn first_attempts_go_to_other_domains() {
    let mut fixture = Fixture::new(2, 2);
    fixture.evacuate(ms(0), LOCAL);
    for now in 0..40 {
        let (id, attempt) = fixture.started(ms(now * 10));
        assert!(is_remote(&attempt.target), "{}", attempt.target);
        let target = attempt.target;
        fixture.end_attempt(ms(now * 10 + 5), id, &target, ANSWERED, None);
        fixture.balancer.forget(id);
    }
}

/// An attempt that waits for its connection was sent to the evacuated domain.
#[test]
fn attempt_that_was_decided_is_withheld_and_placed_elsewhere() {
    let mut fixture = Fixture::new(1, 1);
    let (id, attempt) = fixture.started(ms(0));
    assert_eq!(&*attempt.target, "target-0");
    fixture.evacuate(ms(1), LOCAL);
    assert!(!fixture.begin_request(ms(2), id, &attempt.target));
    let withheld = AttemptOutcome::Withheld;
    let decision = fixture.end_attempt(ms(2), id, &attempt.target, withheld, None);
    assert_eq!(&*expect_start(decision).target, "target-100");
}

#[test]
fn retries_and_hedges_go_to_other_domains() {
    let mut fixture = Fixture::new(3, 0);
    let (id, attempt) = fixture.started(ms(0));
    let record = TargetRecord { failure_domain: Arc::from(REMOTE), ..record(9, REMOTE) };
    let mut changes = vec![Change::Target(record)];
    changes.push(Change::Evacuation { domain: Arc::from(LOCAL), active: true });
    fixture.apply_changes(ms(1), changes);
    let broken = AttemptOutcome::Failed { failure: Failure::Broken, sent: true };
    let decision = fixture.end_attempt(ms(2), id, &attempt.target, broken, None);
    assert_eq!(&*expect_start(decision).target, "target-9");

    let mut fixture = Fixture::new(3, 0);
    let (id, attempt) = fixture.started(ms(0));
    fixture.evacuate(ms(1), LOCAL);
    let mut at = attempt.hedge_at.unwrap_or_else(|| panic!("a repeatable call"));
    while at < ms(900) {
        match fixture.balancer.consider_hedge(at, id) {
            HedgeDecision::Later(later) => at = later,
            HedgeDecision::Never => break,
            HedgeDecision::Start(attempt) => panic!("{attempt:?}"),
        }
    }
}

#[test]
fn evacuated_targets_are_not_probed_or_checked() {
    let mut fixture = Fixture::before_first_answer(3, 3);
    fixture.evacuate(ms(0), LOCAL);
    for now in 0..50 {
        fixture.submit(ms(now * 10), &route("check", true));
        for probe in fixture.balancer.take_probes() {
            assert!(probe.target.starts_with("target-10"), "{}", probe.target);
        }
        for target in fixture.balancer.start_reach_check(ms(now * 10)) {
            assert!(target.target.starts_with("target-10"), "{}", target.target);
        }
        fixture.balancer.reach_check_void();
    }
    assert!(fixture.balancer.is_evacuated("service", "target-0"));
    assert!(!fixture.balancer.is_evacuated("service", "target-100"));
}

/// The end of a process was checked in the evacuated domain.
#[test]
fn target_whose_attempt_broke_off_is_not_checked_in_an_evacuation() {
    let mut fixture = Fixture::new(2, 2);
    fixture.break_off(ms(5));
    fixture.evacuate(ms(10), LOCAL);
    let checks = fixture.balancer.take_crash_checks(ms(2_000));
    assert!(checks.is_empty(), "{checks:?}");
}

/// A check that was under way when the evacuation began sends nothing more. Its silence counted as the end of the
/// process, and its call as one that crashes targets.
#[test]
fn check_that_an_evacuation_holds_back_proves_no_end_of_a_process() {
    for is_evacuated in [false, true] {
        let mut fixture = Fixture::new(2, 2);
        fixture.break_off(ms(5));
        let checks = fixture.balancer.take_crash_checks(ms(2_000));
        let [check] = checks.as_slice() else { panic!("{checks:?}") };
        if is_evacuated {
            fixture.evacuate(ms(2_010), LOCAL);
        }
        let is_ended =
            fixture.balancer.crash_checked(ms(2_500), check.process, CrashEvidence::Gone);
        assert_eq!(is_ended, !is_evacuated);
    }
}

/// Waiting calls were held until their deadline, or sent to the evacuated domain.
#[test]
fn waiting_calls_move_to_other_domains() {
    let mut fixture = Fixture::new(1, 0);
    let running: Vec<_> = (0..2).map(|_| fixture.started(ms(0)).0).collect();
    let (waiting, decision) = fixture.submit(ms(1), &route("check", true));
    assert_eq!(decision, Decision::Wait);
    fixture.apply_changes(
        ms(2),
        vec![
            Change::Target(record(9, REMOTE)),
            Change::Evacuation { domain: Arc::from(LOCAL), active: true },
        ],
    );
    let decisions = fixture.balancer.dispatch_waiting(ms(3));
    let [(id, decision)] = decisions.as_slice() else { panic!("{decisions:?}") };
    assert_eq!(*id, waiting);
    assert_eq!(&*expect_start(decision.clone()).target, "target-9");
    assert_eq!(running.len(), 2);
}

#[test]
fn all_calls_are_refused_at_once_when_all_domains_are_evacuated() {
    let mut fixture = Fixture::new(1, 0);
    fixture.started(ms(0));
    fixture.started(ms(0));
    let (waiting, decision) = fixture.submit(ms(1), &route("check", true));
    assert_eq!(decision, Decision::Wait);
    fixture.evacuate(ms(2), LOCAL);
    let decisions = fixture.balancer.dispatch_waiting(ms(2));
    let [(id, decision)] = decisions.as_slice() else { panic!("{decisions:?}") };
    assert_eq!(*id, waiting);
    expect_evacuated(decision);
    let (_, decision) = fixture.submit(ms(3), &route("check", false));
    expect_evacuated(&decision);
}

/// The reason has to tell an evacuation from a service without targets.
#[test]
fn evacuation_is_no_reason_where_no_target_would_be_usable_without_it() {
    let mut fixture = Fixture::new(1, 0);
    let leaving = TargetRecord { leaving: true, ..record(0, LOCAL) };
    fixture.apply_changes(ms(1), vec![Change::Target(leaving)]);
    fixture.evacuate(ms(2), LOCAL);
    let (_, decision) = fixture.submit(ms(3), &route("check", true));
    let Decision::GiveUp { reason, .. } = decision else { panic!("{decision:?}") };
    assert_eq!(reason, GiveUpReason::NoTarget);
}

#[test]
fn requests_in_progress_are_answered() {
    let mut fixture = Fixture::new(1, 0);
    let (id, attempt) = fixture.started(ms(0));
    assert!(fixture.begin_request(ms(1), id, &attempt.target));
    fixture.evacuate(ms(2), LOCAL);
    let decision = fixture.end_attempt(ms(50), id, &attempt.target, ANSWERED, None);
    assert_eq!(decision, Decision::Deliver);
}

/// The slot that a remote target keeps for its own domain stayed empty while callers waited.
#[test]
fn gateway_of_the_evacuated_domain_uses_all_slots_of_the_others() {
    let mut fixture = Fixture::new(1, 1);
    fixture.evacuate(ms(0), LOCAL);
    for _ in 0..2 {
        assert_eq!(&*fixture.started(ms(1)).1.target, "target-100");
    }
}

#[test]
fn targets_are_used_again_after_the_evacuation() {
    let mut fixture = Fixture::new(1, 0);
    fixture.evacuate(ms(0), LOCAL);
    let (_, decision) = fixture.submit(ms(1), &route("check", true));
    expect_evacuated(&decision);
    fixture.set_evacuated(ms(5_000), LOCAL, false);
    assert_eq!(&*fixture.started(ms(5_001)).1.target, "target-0");
    assert!(!fixture.balancer.is_evacuated("service", "target-0"));
}

/// A target that registers or starts anew in an evacuated domain got calls.
#[test]
fn targets_that_appear_during_the_evacuation_get_nothing() {
    let mut fixture = Fixture::new(1, 1);
    fixture.evacuate(ms(0), LOCAL);
    let restarted = TargetRecord { started: Some(2), ..record(0, LOCAL) };
    fixture
        .apply_changes(ms(10), vec![Change::Target(restarted), Change::Target(record(1, LOCAL))]);
    for _ in 0..2 {
        assert_eq!(&*fixture.started(ms(20)).1.target, "target-100");
    }
}
