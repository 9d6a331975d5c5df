//! Proper calls that come again and again beside targets that end.

use super::{
    caller::{Arrival, RepeatedCall},
    deployment::{DOMAINS, Deployment, seed},
    repeated::{Outcome, Scenario},
    target::{Ending, Faults, UNLUCKY_PATH},
};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::{Instant, sleep};

/// Number of look-ups that are repeated.
const LOOKS: usize = 4;
/// Time for which targets end.
const FAULT_TIME: Duration = Duration::from_secs(14);
/// Pause between two ends of targets.
const END_INTERVAL: Duration = Duration::from_millis(500);
/// Parts of the calls that targets do not answer.
const FAULTS: Faults = Faults { reset: 10, lost: 10 };

/// Pauses before the targets of one failure domain end at once, and before all targets do.
const DOMAIN_PAUSE: Duration = Duration::from_secs(3);

/// Returns the same few look-ups for all callers.
fn looks() -> impl Iterator<Item = RepeatedCall> {
    (0..LOOKS).map(|n| RepeatedCall::get(&format!("/look/same/{n}")))
}

/// Asserts that each call is served at each gateway at the end, that all others have been served
/// when they were sent again, and that none was denied.
async fn assert_all_are_served(deployment: Deployment, scenario: &Scenario, outcome: &Outcome) {
    let counts = scenario.counts(&deployment, &[]);
    let unserved = scenario.unserved(&deployment, LOOKS).await;
    let mut text = outcome.describe(&deployment, &counts);
    text += &describe_refusals(&outcome.proper);
    println!("{text}");
    deployment.shut_down().await;
    let unserved: Vec<_> = unserved.iter().map(Arrival::describe).collect();
    assert!(unserved.is_empty(), "not served at the end: {unserved:?}\n{text}");
    assert!(outcome.unserved_count() == 0, "not served when sent again\n{text}");
    let is_denied = |a: &&Arrival| (400..500).contains(&a.status());
    let denied: Vec<_> = outcome.proper.iter().filter(is_denied).map(Arrival::describe).collect();
    assert!(denied.is_empty(), "denied: {denied:?}\n{text}");
}

/// Counts the refusals of proper calls by reason, and gives the longest time without an answer to
/// any caller for each call.
fn describe_refusals(arrivals: &[Arrival]) -> String {
    let mut text = String::new();
    let keys: BTreeSet<_> = arrivals.iter().map(|arrival| &arrival.key).collect();
    for key in keys {
        let of_key: Vec<_> = arrivals.iter().filter(|a| a.key == *key).collect();
        let refused = of_key.iter().filter(|a| a.is_refused()).count();
        let mut served: Vec<_> =
            of_key.iter().filter(|a| a.is_served()).map(|a| a.sent + a.elapsed).collect();
        served.sort();
        let gap = served.windows(2).map(|pair| pair[1] - pair[0]).max();
        let sends = of_key.len();
        text += &format!("{key}: sends={sends} refused={refused} longest gap={gap:?}\n");
    }
    text
}

/// Proper calls that ran beside crashing ones on targets that ended were taken for crashing ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_calls_leave_the_same_calls_beside_them_served() {
    let crashing = (0..3).map(|n| RepeatedCall::get(&format!("/look/crash/{n}")));
    let scenario = Scenario::new(crashing, looks());
    let deployment = Deployment::start(Ending::Reset, seed()).await;
    let outcome = scenario.spawn(&deployment).join().await;
    assert_all_are_served(deployment, &scenario, &outcome).await;
}

/// Proper calls were taken for crashing ones because their targets ended for other reasons.
///
/// Targets are killed, stop as planned, reset connections, and lose answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_whose_targets_end_for_other_reasons_stay_served() {
    let scenario = Scenario::new([], looks());
    let deployment = Deployment::start(Ending::Reset, seed()).await;
    let running = scenario.spawn(&deployment);
    let targets = &deployment.targets;
    *targets.behavior.faults.lock() = FAULTS;
    let end = Instant::now() + FAULT_TIME;
    let mut is_planned = false;
    while Instant::now() < end {
        sleep(END_INTERVAL).await;
        is_planned = !is_planned;
        if let Some(target) = targets.pick() {
            let token = if is_planned { &target.leaving } else { &target.ended };
            token.cancel();
        }
    }
    *targets.behavior.faults.lock() = Faults::default();
    let outcome = running.join().await;
    assert_all_are_served(deployment, &scenario, &outcome).await;
}

/// A call that many callers make at the same time was taken for a crashing one when several targets
/// that ran it ended at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_whose_targets_end_all_at_once_are_served_again() {
    let scenario = Scenario::new([], looks().take(1));
    let deployment = Deployment::start(Ending::Reset, seed()).await;
    let running = scenario.spawn(&deployment);
    for domains in [1, 1, DOMAINS.len()] {
        sleep(DOMAIN_PAUSE).await;
        deployment.targets.end_domains(domains);
    }
    let outcome = running.join().await;
    let unserved = scenario.unserved(&deployment, 1).await;
    let text = outcome.describe(&deployment, &[]) + &describe_refusals(&outcome.proper);
    println!("{text}");
    deployment.shut_down().await;
    let unserved: Vec<_> = unserved.iter().map(Arrival::describe).collect();
    assert!(unserved.is_empty(), "not served at the end: {unserved:?}\n{text}");
    outcome.assert_proper_calls_are_served(&text);
}

/// A call whose first three targets ended by chance was refused for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_whose_first_targets_end_by_chance_are_served_again() {
    let call = RepeatedCall::get(&format!("/look{UNLUCKY_PATH}0"));
    let scenario = Scenario::new([call], looks());
    let deployment = Deployment::start(Ending::Reset, seed()).await;
    let outcome = scenario.spawn(&deployment).join().await;
    let text = outcome.describe(&deployment, &[]) + &describe_refusals(&outcome.crashing);
    println!("{text}");
    deployment.shut_down().await;
    let last = outcome.crashing.iter().max_by_key(|arrival| arrival.sent);
    assert!(last.is_some_and(Arrival::is_served), "not served at the end: {last:?}\n{text}");
}
