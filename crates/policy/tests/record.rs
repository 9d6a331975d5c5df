//! Verification of the audit record: detects any single changed, dropped, inserted or moved line,
//! and calls that were dispatched before a waiting call of a higher class.
#![allow(clippy::unwrap_used)]

use arbtest::arbitrary::{Result, Unstructured};
use azuretally_api::{
    admin::CallCounts,
    record::{CallRecord, ClassRecord, Outcome, RecordEntry, SettingsRecord},
};
use azuretally_policy::record::{Finding, FindingKind, HashChain, Location, RunCounts, Verifier};
use std::sync::Arc;

/// Number of random cases.
const CASES: u64 = 300;
/// Lower half of a seed: length of the random input of one case, in bytes.
const INPUT_BYTES: u64 = 4_096;

fn settings() -> RecordEntry {
    let class = |name: &str, floor_percent, still_ms| ClassRecord {
        name: name.to_owned(),
        timeout_ms: 500,
        floor_percent,
        still_ms,
    };
    RecordEntry::Settings(SettingsRecord {
        revision: 7,
        era: None,
        preset: "ordinary".to_owned(),
        classes: vec![class("urgent", 0.0, None), class("patient", 0.0, Some(5_000))],
    })
}

fn call(class: &str, arrival_us: u64, dispatch_us: Option<u64>, end_us: u64) -> CallRecord {
    CallRecord {
        revision: 7,
        era: None,
        service: "till".to_owned(),
        operation: "balance".to_owned(),
        class: class.to_owned(),
        caller: "kiosk-1".to_owned(),
        key: None,
        arrival_us,
        deadline_us: arrival_us + 500_000,
        dispatch_us,
        end_us,
        target: dispatch_us.map(|_| "t1".to_owned()),
        peer: None,
        attempts: u32::from(dispatch_us.is_some()),
        outcome: if dispatch_us.is_some() { Outcome::Answered } else { Outcome::NotRun },
        reason: None,
    }
}

fn record(calls: &[CallRecord]) -> Vec<String> {
    let mut chain = HashChain::new("entry-1", "0011223344556677");
    let mut entries = vec![RecordEntry::Start { failure_domain: "a".to_owned() }, settings()];
    entries.extend(calls.iter().map(|c| RecordEntry::Call(Box::new(c.clone()))));
    let count = |o| calls.iter().filter(|c| c.outcome == o).count() as u64;
    entries.push(RecordEntry::End(CallCounts {
        taken: calls.len() as u64,
        answered: count(Outcome::Answered),
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        in_flight: 0,
        in_time: 0,
    }));
    entries.into_iter().map(|e| serde_json::to_string(&chain.append(e)).unwrap()).collect()
}

fn verify(sources: &[&[String]], runs: Option<&RunCounts>) -> Vec<Finding> {
    let mut verifier = Verifier::default();
    for (i, lines) in sources.iter().enumerate() {
        verifier.start_source();
        let source: Arc<str> = format!("file-{i}").into();
        for (n, line) in lines.iter().enumerate() {
            verifier.add_line(Location::from((&source, n + 1)), line);
        }
    }
    verifier.finish(runs).1
}

fn arbitrary_calls(u: &mut Unstructured<'_>) -> Result<Vec<CallRecord>> {
    (0..u.int_in_range(1..=12)?)
        .map(|i| {
            let at = i * 1_000_000;
            let dispatch = u.arbitrary::<bool>()?.then_some(at + 10);
            let mut call = call(u.choose(&["urgent", "patient"])?, at, dispatch, at + 200);
            call.key = u.arbitrary::<bool>()?.then(|| format!("key-{i}"));
            Ok(call)
        })
        .collect()
}

fn check_one_fault(u: &mut Unstructured<'_>) -> Result<()> {
    let complete = record(&arbitrary_calls(u)?);
    assert_eq!(verify(&[&complete], None), vec![]);
    assert_eq!(
        verify(&[&complete, &complete[1..3]], None),
        vec![],
        "a part next to the complete record"
    );
    assert!(!verify(&[&complete[1..]], None).is_empty(), "a part without its first line");
    let mut lines = complete.clone();
    let at = u.choose_index(lines.len())?;
    match u.int_in_range(0..=3)? {
        0 => drop(lines.remove(at)),
        1 => lines.insert(u.choose_index(lines.len())?, complete[at].clone()),
        2 => {
            let other = u.choose_index(lines.len())?;
            lines.swap(at, other);
        }
        _ => {
            let byte = u.choose_index(lines[at].len())?;
            let new = u.int_in_range(b' '..=b'~')?;
            let mut bytes = lines[at].clone().into_bytes();
            bytes[byte] = new;
            lines[at] = String::from_utf8(bytes).unwrap();
        }
    }
    if lines != complete {
        assert!(!verify(&[&lines], None).is_empty(), "fault not detected: {lines:#?}");
    }
    Ok(())
}

#[test]
fn one_changed_dropped_inserted_or_moved_line_is_detected() {
    for seed in 1..=CASES {
        arbtest::arbtest(check_one_fault).seed(seed << 32 | INPUT_BYTES);
    }
}

#[test]
fn a_forged_line_with_a_valid_hash_breaks_the_chain() {
    let calls = [call("urgent", 0, Some(10), 20), call("urgent", 30, Some(40), 50)];
    let mut lines = record(&calls);
    let mut forged = calls.to_vec();
    forged[0].caller = "kiosk-2".to_owned();
    lines[2] = record(&forged)[2].clone();
    let findings = verify(&[&lines], None);
    assert_eq!(findings.len(), 1);
    assert_eq!(
        (findings[0].location.line, &findings[0].kind),
        (4, &FindingKind::PreviousHashMismatch)
    );
}

#[test]
fn a_differing_copy_is_a_conflict() {
    let mut forged = call("urgent", 0, Some(10), 20);
    let own = record(std::slice::from_ref(&forged));
    forged.caller = "kiosk-2".to_owned();
    let copy = record(&[forged]);
    let findings = verify(&[&own, &copy], None);
    assert!(findings.iter().any(|f| matches!(f.kind, FindingKind::Conflict(_))), "{findings:?}");
}

#[test]
fn a_lower_class_dispatched_before_a_waiting_higher_class_is_reported() {
    let calls =
        [call("urgent", 0, Some(100_000), 110_000), call("patient", 10_000, Some(50_000), 60_000)];
    let findings = verify(&[&record(&calls)], None);
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert_eq!(findings[0].location.line, 4);
    assert!(matches!(&findings[0].kind, FindingKind::PriorityInversion { waited_us: 50_000, .. }));
}

#[test]
fn still_ms_lets_a_lower_class_go_first() {
    let calls = [
        call("patient", 0, Some(4_000_000), 4_100_000),
        call("urgent", 3_800_000, Some(4_200_000), 4_210_000),
    ];
    assert_eq!(verify(&[&record(&calls)], None), vec![]);
}

#[test]
fn runs_counted_by_targets_must_match_the_record() {
    let mut not_run = call("urgent", 0, None, 20);
    not_run.key = Some("a".to_owned());
    let mut answered = call("urgent", 30, Some(40), 50);
    answered.key = Some("b".to_owned());
    let lines = record(&[not_run, answered]);
    let runs = |a, b| RunCounts::from_iter([("a".to_owned(), a), ("b".to_owned(), b)]);
    assert_eq!(verify(&[&lines], Some(&runs(0, 1))), vec![]);
    let kinds =
        |runs| verify(&[&lines], Some(&runs)).into_iter().map(|f| (f.location.line, f.kind));
    let ran = FindingKind::RanDespiteNotRun { key: "a".to_owned(), runs: 1 };
    assert!(kinds(runs(1, 1)).eq([(3, ran)]));
    assert!(kinds(runs(0, 0)).eq([(4, FindingKind::AnsweredWithoutRun("b".to_owned()))]));
    let twice = FindingKind::MultipleRuns { key: "b".to_owned(), runs: 2 };
    assert!(kinds(runs(0, 2)).eq([(4, twice)]));
}

#[test]
fn counters_that_do_not_add_up_are_reported() {
    let mut chain = HashChain::new("e", "i");
    let counts = CallCounts { taken: 3, answered: 1, ..CallCounts::default() };
    let lines = [serde_json::to_string(&chain.append(RecordEntry::End(counts))).unwrap()];
    let kinds: Vec<_> = verify(&[&lines], None).into_iter().map(|f| f.kind).collect();
    let counted = FindingKind::CounterMismatch { outcome: "answered", counted: 1, lines: 0 };
    assert_eq!(kinds, [FindingKind::UnbalancedCounters { taken: 3, accounted: 1 }, counted]);
}

/// Guards against calls that are judged by other settings with the same revision, which a platform
/// gives out again after it was restored from a copy.
#[test]
fn settings_with_the_same_revision_in_another_era_are_told_apart() {
    let settings = |era, names: [&str; 2]| {
        let class = |name: &str| ClassRecord {
            name: name.to_owned(),
            timeout_ms: 500,
            floor_percent: 0.0,
            still_ms: None,
        };
        let (preset, classes) = ("ordinary".to_owned(), names.map(class).to_vec());
        RecordEntry::Settings(SettingsRecord { revision: 7, era, preset, classes })
    };
    let calls = |era, names: [&str; 2]| {
        let [higher, lower] = names;
        let higher = call(higher, 0, Some(100_000), 110_000);
        let lower = call(lower, 10_000, Some(200_000), 210_000);
        [higher, lower].map(|c| RecordEntry::Call(Box::new(CallRecord { era, ..c })))
    };
    let (first, second) = (["urgent", "patient"], ["patient", "urgent"]);
    let counts = CallCounts { taken: 4, answered: 4, ..CallCounts::default() };
    let mut entries = vec![RecordEntry::Start { failure_domain: "a".to_owned() }];
    entries.push(settings(None, first));
    entries.extend(calls(None, first));
    entries.push(settings(Some(2), second));
    entries.extend(calls(Some(2), second));
    entries.push(RecordEntry::End(counts));
    let mut chain = HashChain::new("entry-1", "0011223344556677");
    let lines: Vec<String> =
        entries.into_iter().map(|e| serde_json::to_string(&chain.append(e)).unwrap()).collect();
    assert_eq!(verify(&[&lines], None), []);
}
