//! Targets that say that they are draining.

use crate::fixture::{CHECK, call, config, ms, targets};
use azuretally_policy::{
    Timestamp,
    dispatch::{
        Action, CallId, Dispatcher, Event, FailureKind, LoadReport, ServiceConfig, TargetNotice,
    },
};
use azuretally_settings::BalancingPolicy;
use std::sync::Arc;

const DRAINING: LoadReport = LoadReport { busy: 0, draining: true };

fn dispatcher() -> Dispatcher {
    Dispatcher::new(Arc::new(config(BalancingPolicy::Owned)), 1)
}

fn handle(dispatcher: &mut Dispatcher, at_ms: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    dispatcher.handle(Timestamp::from_millis(at_ms), event, &mut actions);
    actions
}

fn arrive(dispatcher: &mut Dispatcher, at_ms: u64, id: u64) -> Vec<Action> {
    let deadline = Timestamp::from_millis(at_ms) + ms(500);
    handle(dispatcher, at_ms, Event::Arrived(call(id, "caller", CHECK, deadline)))
}

fn answer(dispatcher: &mut Dispatcher, at_ms: u64, id: u64, report: LoadReport) {
    let target = targets(1, 1).remove(0).name;
    let (ok, elapsed, report) = (true, ms(5), Some(report));
    handle(dispatcher, at_ms, Event::Answered { call: CallId(id), target, ok, elapsed, report });
}

fn is_dispatched(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Dispatch { .. }))
}

/// Guards against a target that gets calls again, although it drains, because its record lapsed at
/// the platform and returned.
#[test]
fn draining_target_stays_out_after_its_record_returns() {
    let mut dispatcher = dispatcher();
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(targets(1, 1)));
    assert!(is_dispatched(&arrive(&mut dispatcher, 1_000, 1)));
    answer(&mut dispatcher, 1_005, 1, DRAINING);
    assert!(!is_dispatched(&arrive(&mut dispatcher, 1_010, 2)));
    handle(&mut dispatcher, 2_000, Event::TargetsChanged(Vec::new()));
    handle(&mut dispatcher, 9_000, Event::TargetsChanged(targets(1, 1)));
    assert!(!is_dispatched(&arrive(&mut dispatcher, 9_000, 3)));
}

/// Guards against a draining target that gets calls again after a reload.
#[test]
fn draining_target_stays_out_after_a_reload() {
    let mut dispatcher = dispatcher();
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(targets(1, 1)));
    arrive(&mut dispatcher, 1_000, 1);
    answer(&mut dispatcher, 1_005, 1, DRAINING);
    let changed = ServiceConfig { queue_limit: 5, ..config(BalancingPolicy::RoundRobin) };
    handle(&mut dispatcher, 1_010, Event::ConfigChanged(Arc::new(changed)));
    handle(&mut dispatcher, 1_010, Event::TargetsChanged(targets(1, 2)));
    assert!(!is_dispatched(&arrive(&mut dispatcher, 1_010, 2)));
}

/// Guards against an answer of a call sent earlier that ends the draining of its target.
#[test]
fn later_answer_without_the_mark_does_not_end_draining() {
    let mut dispatcher = dispatcher();
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(targets(1, 2)));
    arrive(&mut dispatcher, 1_000, 1);
    arrive(&mut dispatcher, 1_000, 2);
    answer(&mut dispatcher, 1_005, 1, DRAINING);
    answer(&mut dispatcher, 1_006, 2, LoadReport { busy: 0, draining: false });
    assert!(!is_dispatched(&arrive(&mut dispatcher, 1_010, 3)));
}

/// Guards against a target that gets calls although the trial call after its failures learned that
/// it drains.
#[test]
fn draining_target_stays_out_after_a_successful_trial() {
    let mut dispatcher = dispatcher();
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(targets(1, 1)));
    let mut now_ms = 1_000;
    let mut id = 0;
    while is_dispatched(&arrive(&mut dispatcher, now_ms, id)) {
        let (call, target) = (CallId(id), targets(1, 1).remove(0).name);
        let kind = FailureKind::Broken;
        handle(&mut dispatcher, now_ms, Event::Failed { call, target, kind, not_executed: false });
        handle(&mut dispatcher, now_ms, Event::CallerDisconnected(call));
        now_ms += 1;
        id += 1;
    }
    handle(&mut dispatcher, now_ms, Event::CallerDisconnected(CallId(id)));
    assert!(is_dispatched(&arrive(&mut dispatcher, now_ms + 2_000, id + 1)), "no trial");
    answer(&mut dispatcher, now_ms + 2_005, id + 1, DRAINING);
    assert!(!is_dispatched(&arrive(&mut dispatcher, now_ms + 2_010, id + 2)));
}

fn notice(dispatcher: &mut Dispatcher, at_ms: u64, incarnation: Option<&str>, draining: bool) {
    let target = targets(1, 1).remove(0).name;
    let notice = TargetNotice { incarnation: incarnation.map(Arc::from), rest: None, draining };
    handle(dispatcher, at_ms, Event::Noticed { target, notice });
}

fn probe(dispatcher: &mut Dispatcher, at_ms: u64, incarnation: Option<&str>) {
    notice(dispatcher, at_ms, incarnation, false);
    let target = targets(1, 1).remove(0).name;
    let report = Some(LoadReport { busy: 0, draining: false });
    handle(dispatcher, at_ms, Event::Probed { target, report });
}

/// Guards against a leaving incarnation that gets calls because it takes its word back, and against
/// a new one that gets none.
#[test]
fn draining_ends_with_the_incarnation() {
    let mut dispatcher = dispatcher();
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(targets(1, 1)));
    notice(&mut dispatcher, 1_000, Some("a"), true);
    probe(&mut dispatcher, 1_010, Some("a"));
    assert!(!is_dispatched(&arrive(&mut dispatcher, 1_020, 1)));
    probe(&mut dispatcher, 3_000, Some("b"));
    assert!(is_dispatched(&arrive(&mut dispatcher, 3_010, 2)));
}

/// Guards against a target of unknown incarnation that gets no calls for good.
#[test]
fn draining_of_an_unknown_incarnation_ends_with_a_probe() {
    let mut dispatcher = dispatcher();
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(targets(1, 1)));
    notice(&mut dispatcher, 1_000, None, true);
    assert!(!is_dispatched(&arrive(&mut dispatcher, 1_020, 1)));
    probe(&mut dispatcher, 3_000, None);
    assert!(is_dispatched(&arrive(&mut dispatcher, 3_010, 2)));
}

/// Guards against a mark that outlives the incarnation when only the host list names the new one.
#[test]
fn draining_ends_with_a_new_incarnation_in_the_host_list() {
    for said_by in [Some("a"), None] {
        let mut dispatcher = dispatcher();
        let mut infos = targets(1, 1);
        infos[0].incarnation = Some("a".into());
        handle(&mut dispatcher, 1_000, Event::TargetsChanged(infos.clone()));
        notice(&mut dispatcher, 1_000, said_by, true);
        handle(&mut dispatcher, 2_000, Event::TargetsChanged(Vec::new()));
        handle(&mut dispatcher, 3_000, Event::TargetsChanged(infos.clone()));
        assert!(!is_dispatched(&arrive(&mut dispatcher, 3_010, 1)));
        infos[0].incarnation = Some("b".into());
        handle(&mut dispatcher, 4_000, Event::TargetsChanged(infos));
        assert!(is_dispatched(&arrive(&mut dispatcher, 4_010, 2)));
    }
}

/// Guards against a target that drained by the report of another entry and is never asked again.
#[test]
fn reported_target_gets_probes_but_no_calls() {
    let settings = ServiceConfig { probe_share: 1.0, ..config(BalancingPolicy::Owned) };
    let mut dispatcher = Dispatcher::new(Arc::new(settings), 1);
    let mut infos = targets(1, 1);
    infos[0].reported = true;
    handle(&mut dispatcher, 1_000, Event::TargetsChanged(infos.clone()));
    assert!(!is_dispatched(&arrive(&mut dispatcher, 1_010, 1)));
    let actions = handle(&mut dispatcher, 7_000, Event::Tick);
    assert!(actions.iter().any(|a| matches!(a, Action::Probe { .. })), "{actions:?}");
    infos[0].leaving = true;
    handle(&mut dispatcher, 14_000, Event::TargetsChanged(infos));
    assert_eq!(handle(&mut dispatcher, 14_000, Event::Tick), [], "listed as leaving");
}
