//! Scoring: conservation, worth in time, and comparison with what targets counted.

#![allow(clippy::unwrap_used)]

use azuretally_api::record::Outcome;
use azuretally_load::core::{
    mix::Mix,
    proof::Proof,
    sample::{Sample, Verdict},
    score::Outcomes,
};
use azuretally_settings::PublishedSettings;
use azuretally_standin::target::{GroupReport, RunCounts};
use std::time::Duration;

const DOCUMENT: &str = include_str!("../settings/spaza-link.toml");
const SALE: usize = 0;
const BALANCE: usize = 1;

fn mix() -> Mix {
    let published = PublishedSettings::parse("spaza-link.toml", DOCUMENT).unwrap();
    let weights = Mix::parse_weights("till.sale=1,till.balance=2.5").unwrap();
    Mix::new(&published, &weights).unwrap()
}

fn sample(number: u64, operation: usize, ms: u64, verdict: Verdict) -> Sample {
    let latency = Duration::from_millis(ms);
    Sample { number, at: Duration::ZERO, latency, operation, caller: 0, verdict }
}

fn outcomes(samples: Vec<Sample>) -> Outcomes {
    Outcomes { sent: samples.len() as u64, samples }
}

fn ledger(runs: &[(&str, u64)]) -> GroupReport {
    let run = |&(key, starts): &(&str, u64)| {
        (key.to_owned(), RunCounts { starts, ..RunCounts::default() })
    };
    GroupReport { runs: runs.iter().map(run).collect(), ..GroupReport::default() }
}

#[test]
fn worth_counts_successful_answers_in_time_alone() {
    let mix = mix();
    let all = outcomes(vec![
        sample(0, SALE, 10, Verdict::answered(true)),
        sample(1, SALE, 900, Verdict::answered(true)),
        sample(2, BALANCE, 10, Verdict::answered(false)),
        sample(3, BALANCE, 10, Verdict::not_run("deadline")),
        sample(4, BALANCE, 10, Verdict::unknown("broken")),
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
    let mut all = outcomes(vec![sample(0, SALE, 10, Verdict::answered(true))]);
    all.sent += 1;
    assert!(!all.is_conserved(&mix()));
}

#[test]
fn percentiles_come_from_answered_calls() {
    let mix = mix();
    let samples = (1..=1_000).map(|ms| sample(ms, BALANCE, ms, Verdict::answered(true)));
    let refused = (0..500).map(|i| sample(i, BALANCE, 5_000, Verdict::not_run("deadline")));
    let latency = outcomes(samples.chain(refused).collect()).total(&mix).latency;
    assert!((latency.p50 - 500.0).abs() < 1.0, "p50 {}", latency.p50);
    assert!((latency.p99 - 990.0).abs() < 1.0, "p99 {}", latency.p99);
    assert!((latency.p999 - 999.0).abs() < 1.0, "p99.9 {}", latency.p999);
}

#[test]
fn breaches_are_found_across_groups_of_targets() {
    let mix = mix();
    let all = outcomes(vec![
        sample(0, SALE, 10, Verdict::answered(true)),
        sample(1, SALE, 10, Verdict::unknown("broken")),
        sample(2, BALANCE, 10, Verdict::answered(true)),
        sample(3, SALE, 10, Verdict::not_run("deadline")),
        sample(4, BALANCE, 10, Verdict::answered(true)),
    ]);
    // Call 1 ran at targets of two groups under different tokens, call 2 may be repeated, call 3 was told as
    // not run, call 4 never ran.
    let first = ledger(&[("a.1/9-0", 1), ("a.1/9-1", 1), ("9-2", 2), ("a.1/9-3", 1)]);
    let ledgers = [first, ledger(&[("b.2/9-1", 1)])];
    let proof = Proof::new(&mix, 9, &all, &ledgers);
    let found = Proof { once: 3, repeated: 1, refused_run: 1, answered_unrun: 1 };
    assert_eq!(proof, found);
    assert_eq!(all.samples.iter().filter(|s| s.verdict.outcome == Outcome::Answered).count(), 3);
}

#[test]
fn weights_and_names_are_checked() {
    let published = PublishedSettings::parse("spaza-link.toml", DOCUMENT).unwrap();
    for text in ["till.sale", "till.sale=x", "till.sale=0", "till.sale=-1", "till.sale=inf", ""] {
        assert!(Mix::parse_weights(text).is_err(), "`{text}` was accepted");
    }
    assert!(Mix::new(&published, &[("till.refund".to_owned(), 1.0)]).is_err());
}
