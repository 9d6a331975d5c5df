//! Generated schedules: reproducibility, rate, distribution and phases.

use azuretally_load::core::{
    mix::{Mix, Operation},
    schedule::{Phase, Plan, ScheduledCall},
};
use std::{sync::Arc, time::Duration};

fn mix(weights: &[f64]) -> Mix {
    let operation = |(i, &weight): (usize, &f64)| Operation {
        service: Arc::from("till"),
        name: Arc::from(format!("till.op{i}")),
        class: Arc::from("urgent"),
        method: http::Method::GET,
        path: "/till/op".to_owned(),
        idempotent: true,
        worth: 1.0,
        timeout: Duration::from_millis(100),
        weight,
    };
    Mix { operations: weights.iter().enumerate().map(operation).collect() }
}

fn draw(seed: u64) -> Vec<ScheduledCall> {
    let mut plan = Plan::constant_rate(2_000.0, Duration::from_secs(10), seed);
    plan.service_time = Duration::from_millis(8);
    plan.generate_calls(&mix(&[3.0, 1.0]))
}

#[test]
fn equal_seeds_give_equal_calls() {
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn rate_weights_and_service_times_match_the_plan() {
    let calls = draw(1);
    let n = calls.len() as f64;
    // Five standard deviations of a Poisson count of 20,000.
    assert!((n - 20_000.0).abs() < 5.0 * 20_000f64.sqrt(), "{n} calls");
    let first = calls.iter().filter(|c| c.operation == 0).count() as f64 / n;
    assert!((first - 0.75).abs() < 0.02, "share of the first operation: {first}");
    let mean = calls.iter().map(|c| c.service_time.as_secs_f64()).sum::<f64>() / n;
    assert!((mean - 0.008).abs() < 0.0004, "mean service time: {mean} s");
}

#[test]
fn gaps_between_calls_have_the_variation_of_a_poisson_process() {
    let calls = draw(2);
    let gaps: Vec<f64> = calls.windows(2).map(|w| (w[1].at - w[0].at).as_secs_f64()).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variance = gaps.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
    let variation = variance.sqrt() / mean;
    assert!((variation - 1.0).abs() < 0.05, "coefficient of variation: {variation}");
}

#[test]
fn phases_change_the_rate_and_calls_stay_in_order() {
    let second = Duration::from_secs(1);
    let phases = vec![
        Phase { until: second, rate: 500.0 },
        Phase { until: 2 * second, rate: 5_000.0 },
        Phase { until: 3 * second, rate: 0.0 },
    ];
    let plan = Plan { phases, ..Plan::constant_rate(1.0, second, 3) };
    let calls = plan.generate_calls(&mix(&[1.0]));
    assert!(calls.windows(2).all(|w| w[0].at <= w[1].at && w[0].number + 1 == w[1].number));
    let slow = calls.iter().filter(|c| c.at < second).count();
    let fast = calls.iter().filter(|c| c.at >= second).count();
    assert!((350..650).contains(&slow), "{slow} calls in the first second");
    assert!((4_600..5_400).contains(&fast), "{fast} calls in the second one");
    assert!(calls.iter().all(|c| c.at < 2 * second), "calls while the rate is 0");
}
