//! Crashing calls that may run only once.

use super::{
    caller::{Arrival, RepeatedCall},
    deployment::{Deployment, seed},
    repeated::{Scenario, assert_few_late_sends},
    target::Ending,
};

/// A call that must not be repeated and crashes its target could run again, or after its refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_calls_run_once_per_arrival_and_never_after_a_refusal() {
    let scenario = Scenario::new(
        (0..3).map(|n| RepeatedCall::post(&format!("/sale/crash/{n}"), b"sold".to_vec())),
        (0..400).map(|n| RepeatedCall::post(&format!("/sale/proper/{n}"), b"sold".to_vec())),
    );
    let deployment = Deployment::start(Ending::Reset, seed()).await;
    let outcome = scenario.spawn(&deployment).join().await;
    let counts = scenario.counts(&deployment, &[]);
    let text = outcome.describe(&deployment, &counts);
    println!("{text}");
    let runs = deployment.log().runs_by_id();
    deployment.shut_down().await;
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "run more than once: {repeated:?}\n{text}");
    let arrivals = outcome.crashing.iter().chain(&outcome.proper);
    let has_run = arrivals.filter(|a| a.is_refused() && runs.contains_key(&a.id));
    let has_run: Vec<_> = has_run.map(Arrival::describe).collect();
    assert!(has_run.is_empty(), "refused, but run: {has_run:?}\n{text}");
    assert_few_late_sends(&counts, &text);
    outcome.assert_proper_calls_are_served(&text);
}
