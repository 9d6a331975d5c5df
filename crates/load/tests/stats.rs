//! Statistics of calls, and the comparison of outcomes with the executions that targets counted.

#![allow(clippy::unwrap_used)]

use azuretally_api::record::Outcome;
use azuretally_load::core::{
    consistency::ConsistencyReport,
    mix::Mix,
    sample::{CallResult, Sample},
    stats::Outcomes,
};
use azuretally_settings::PublishedSettings;
use azuretally_standin::target::{GroupReport, RunCounts};
use std::time::Duration;

const SETTINGS_DOCUMENT: &str = include_str!("../settings/spaza-link.toml");
const SALE: usize = 0;
const BALANCE: usize = 1;

fn mix() -> Mix {
    let published = PublishedSettings::parse("spaza-link.toml", SETTINGS_DOCUMENT).unwrap();
    let weights = Mix::parse_weights("till.sale=1,till.balance=2.5").unwrap();
    Mix::new(&published, &weights).unwrap()
}

fn sample(number: u64, operation: usize, ms: u64, result: CallResult) -> Sample {
    let latency = Duration::from_millis(ms);
    Sample { number, at: Duration::ZERO, latency, operation, caller: 0, result }
}

fn outcomes(samples: Vec<Sample>) -> Outcomes {
    Outcomes { sent: samples.len() as u64, samples }
}

fn group_report(runs: &[(&str, u64)]) -> GroupReport {
    let run = |&(key, starts): &(&str, u64)| {
        (key.to_owned(), RunCounts { starts, ..RunCounts::default() })
    };
    GroupReport { runs: runs.iter().map(run).collect(), ..GroupReport::default() }
}

#[test]
fn only_successful_answers_in_time_count_for_worth() {
    let mix = mix();
    let all = outcomes(vec![
        sample(0, SALE, 10, CallResult::answered(true)),
        sample(1, SALE, 900, CallResult::answered(true)),
        sample(2, BALANCE, 10, CallResult::answered(false)),
        sample(3, BALANCE, 10, CallResult::not_run("deadline")),
        sample(4, BALANCE, 10, CallResult::unknown("broken")),
    ]);
    let total = all.total(&mix);
    assert_eq!((total.sent, total.answered, total.not_run, total.unknown), (5, 3, 1, 1));
    assert_eq!((total.in_time, total.faults), (1, 1));
    assert!((total.worth - 5.0).abs() < 1e-9 && (total.worth_sent - 13.0).abs() < 1e-9);
    assert!(all.is_conserved(&mix));
    assert_eq!(all.by_operation(&mix)["till.sale"].answered, 2);
}

#[test]
fn a_call_without_an_outcome_breaks_conservation() {
    let mut all = outcomes(vec![sample(0, SALE, 10, CallResult::answered(true))]);
    all.sent += 1;
    assert!(!all.is_conserved(&mix()));
}

#[test]
fn percentiles_include_only_answered_calls() {
    let mix = mix();
    let samples = (1..=1_000).map(|ms| sample(ms, BALANCE, ms, CallResult::answered(true)));
    let refused = (0..500).map(|i| sample(i, BALANCE, 5_000, CallResult::not_run("deadline")));
    let latency = outcomes(samples.chain(refused).collect()).total(&mix).latency;
    assert!((latency.p50 - 500.0).abs() < 1.0, "p50 {}", latency.p50);
    assert!((latency.p99 - 990.0).abs() < 1.0, "p99 {}", latency.p99);
    assert!((latency.p999 - 999.0).abs() < 1.0, "p99.9 {}", latency.p999);
}

#[test]
fn inconsistencies_are_detected_across_target_groups() {
    let mix = mix();
    let all = outcomes(vec![
        sample(0, SALE, 10, CallResult::answered(true)),
        sample(1, SALE, 10, CallResult::unknown("broken")),
        sample(2, BALANCE, 10, CallResult::answered(true)),
        sample(3, SALE, 10, CallResult::not_run("deadline")),
        sample(4, BALANCE, 10, CallResult::answered(true)),
    ]);
    // Call 1 ran in two target groups under different tokens. Call 2 ran twice but is idempotent.
    // Call 3 was reported as not run but ran. Call 4 was reported as answered but never ran.
    let first = group_report(&[("a.1/9-0", 1), ("a.1/9-1", 1), ("9-2", 2), ("a.1/9-3", 1)]);
    let reports = [first, group_report(&[("b.2/9-1", 1)])];
    let consistency = ConsistencyReport::new(&mix, 9, &all, &reports);
    let found =
        ConsistencyReport { non_idempotent: 3, repeated: 1, refused_run: 1, unexecuted_answers: 1 };
    assert_eq!(consistency, found);
    assert_eq!(all.samples.iter().filter(|s| s.result.outcome == Outcome::Answered).count(), 3);
}

#[test]
fn invalid_weights_and_unknown_operations_are_refused() {
    let published = PublishedSettings::parse("spaza-link.toml", SETTINGS_DOCUMENT).unwrap();
    for text in ["till.sale", "till.sale=x", "till.sale=0", "till.sale=-1", "till.sale=inf", ""] {
        assert!(Mix::parse_weights(text).is_err(), "`{text}` was accepted");
    }
    assert!(Mix::new(&published, &[("till.refund".to_owned(), 1.0)]).is_err());
}
