//! Rests while records, processes and the times themselves change.

use super::{
    deployment::{Deployment, Plan},
    progress::wait_until,
    target::Demand,
    verdict::Verdict,
    waves::FEW_CALLERS,
};
use azuretally_policy::balance::TargetRecord;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The rest for which targets ask.
const REST: Demand = Demand::Text("4", Some(Duration::from_secs(4)));
/// Time until all gateways have been asked.
const ASKING_TIME: Duration = Duration::from_millis(1_000);
/// Time for which calls go on afterwards.
const FOLLOW_UP: Duration = Duration::from_secs(5);
/// Time within which a new process gets calls.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// A rest must not end when the record of its target lapses and comes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rests_outlast_a_lapse_of_the_record() {
    let deployment = Deployment::start(Plan { seed: 31, ..Plan::default() }).await;
    for index in 0..3 {
        deployment.targets[index].ask(REST);
    }
    wait_until(ASKING_TIME, || has_rests(&deployment, 3)).await;
    for index in 0..3 {
        deployment.withdraw_record(index);
        deployment.targets[index].ask(Demand::Nothing);
    }
    sleep(Duration::from_millis(600)).await;
    for index in 0..3 {
        deployment.publish_record(index);
    }
    sleep(FOLLOW_UP).await;
    finish(deployment).await.assert_rests_kept(3);
}

/// A new process under the name of one that has asked for rest has asked for nothing: it must get
/// calls at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_processes_do_not_inherit_rests() {
    let mut deployment = Deployment::start(Plan { seed: 32, ..Plan::default() }).await;
    deployment.targets[0].ask(Demand::Text("60", Some(Duration::from_secs(60))));
    wait_until(ASKING_TIME, || has_rests(&deployment, 1)).await;
    deployment.replace_target(0).await;
    let start = Instant::now();
    sleep(RETURN_TIME).await;
    let TargetRecord { name, started, .. } = &deployment.targets[0].record;
    let arrivals = deployment.shared.arrivals.lock().clone();
    let calls = arrivals.iter().filter(|a| a.call.is_some() && a.target == *name);
    let calls = calls.filter(|a| Some(a.started) == *started && a.arrived > start).count();
    let verdict = finish(deployment).await;
    assert!(calls > 0, "the new process got no calls; {verdict}");
    verdict.assert_rests_kept(1);
}

/// A target that was restarted under its name while the platform was away asked for rest, and got calls
/// as soon as its record came.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rests_asked_for_before_the_record_comes_are_kept() {
    let mut deployment =
        Deployment::start(Plan { seed: 34, callers: FEW_CALLERS, ..Plan::default() }).await;
    deployment.platform.leave();
    deployment.replace_target_unseen(0).await;
    deployment.targets[0].ask(REST);
    wait_until(ASKING_TIME, || has_rests(&deployment, 1)).await;
    deployment.targets[0].ask(Demand::Nothing);
    deployment.platform.restore(0);
    deployment.publish_record(0);
    sleep(FOLLOW_UP).await;
    finish(deployment).await.assert_rests_kept(1);
}

/// A later, shorter time must not shorten a rest, and a longer one extends it.
///
/// The answers that name the other times are those to calls that arrive in the first half second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn later_times_do_not_shorten_rests() {
    let deployment = Deployment::start(Plan { seed: 33, ..Plan::default() }).await;
    for target in &deployment.targets {
        target.ask(Demand::Between(300..=4_000));
    }
    wait_until(Duration::from_secs(3), || has_rests(&deployment, 8)).await;
    for target in &deployment.targets {
        target.ask(Demand::Nothing);
    }
    sleep(FOLLOW_UP).await;
    finish(deployment).await.assert_rests_kept(8);
}

fn has_rests(deployment: &Deployment, least: usize) -> bool {
    Verdict::new(deployment, &[]).has_rests(least)
}

async fn finish(mut deployment: Deployment) -> Verdict {
    deployment.end_calls().await;
    let verdict = Verdict::new(&deployment, &[]);
    println!("{verdict}");
    deployment.assert_calls_are_served().await;
    deployment.shut_down().await;
    verdict
}
