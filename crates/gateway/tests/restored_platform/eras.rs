//! Platforms that name no era, or a wrong one.

use super::{
    deployment::{Deployment, Plan},
    operator::CONFIG_BOUND,
    platform::Variant,
    target::Service,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which settings are published before the trouble.
const WARM_UP: Duration = Duration::from_millis(3_000);
/// Time for which they are published after it.
const FOLLOW_UP: Duration = Duration::from_millis(3_500);
/// Time in which gateways get the wrong eras.
const FALSE_ERA_TIME: Duration = Duration::from_millis(1_500);
/// Time from its registration until a target must get calls.
const JOIN_BOUND: Duration = Duration::from_secs(4);
/// Time for which calls to that target are watched.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Time for which gateways get along with a platform whose counter is behind.
const BEHIND_TIME: Duration = Duration::from_millis(1_500);
/// Changes that the copy lacks.
const LOST_CHANGES: usize = 6;
/// Least number of calls that must be judged of each gateway.
const LEAST_CALLS: usize = 30;

/// Settings went back when a platform that names no era had lost changes, or gateways stayed behind
/// after its counter had passed the revision that they knew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restore_without_eras_reverts_nothing_and_ends_when_the_counter_passes() {
    let variant = Variant { is_eraless: true, ..Variant::default() };
    let mut deployment = Deployment::start(Plan { seed: 8, variant, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.end_publishing();
    sleep(CONFIG_BOUND).await;
    deployment.restore(LOST_CHANGES).await;
    sleep(BEHIND_TIME).await;
    for _ in 0..=LOST_CHANGES {
        deployment.operator.publish_next();
    }
    deployment.begin_publishing();
    sleep(FOLLOW_UP).await;
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
}

async fn assert_current_despite(seed: u64, false_eras: &[&'static str]) {
    let mut deployment = Deployment::start(Plan { seed, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    deployment.platform.name_false_eras(false_eras);
    sleep(FALSE_ERA_TIME).await;
    // Targets show whether later data of the platform is still used: settings have their own order.
    deployment.start_target(Service::Extra, "a");
    sleep(JOIN_BOUND).await;
    let due = Instant::now();
    sleep(WATCH_TIME).await;
    assert!(deployment.platform.has_named_false_eras(), "too few reads");
    let (served, made) = deployment.calls_of(Service::Extra.name(), due, Instant::now());
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    verdict.assert_current(LEAST_CALLS);
    assert!(made > 0, "no calls; {verdict}");
    assert_eq!(served, made, "calls for a registered target failed; {verdict}");
}

/// An era that is not a whole number above 0 was taken for a restore.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_era_changes_nothing() {
    let values = ["later", "-1", "0", "", "6.5", "0x7", "99999999999999999999999"];
    assert_current_despite(9, &values).await;
}

/// A single answer that names an earlier era was taken for a restore.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_answer_of_an_earlier_era_changes_nothing() {
    assert_current_despite(10, &["4"]).await;
}
