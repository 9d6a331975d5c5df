//! Targets whose records in the copy are out of date.

use super::{
    deployment::{AWAY_TIME, Deployment, Plan},
    operator::CONFIG_BOUND,
    target::Service,
};
use azuretally_policy::balance::{Change, TargetRecord};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Time for which gateways use the targets before these change.
const WARM_UP: Duration = Duration::from_millis(2_000);
/// Time beyond the bound for which gateways run before the restore.
const SLACK: Duration = Duration::from_millis(400);
/// Time until the targets and the operator write again what was lost.
const REWRITE_DELAY: Duration = Duration::from_secs(2);
/// Time for which gateways are watched after that.
const FOLLOW_UP: Duration = Duration::from_secs(2);
/// Least number of calls of the route whose only target was registered after the copy.
const LEAST_CALLS: usize = 5;

/// Time for which settings are published before a restore with reused revisions.
const SHORT_WARM_UP: Duration = Duration::from_millis(1_500);
/// Changes that the copy lacks in that test.
const LOST_CHANGES: usize = 3;
/// Time from its registration until a target must get calls.
const JOIN_BOUND: Duration = Duration::from_secs(4);

/// Gateways sent calls to targets that had ended or were leaving, or no longer to targets that had
/// been registered, since the records of a restored platform were older.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outdated_records_of_targets_are_not_used() {
    let mut deployment = Deployment::start(Plan { seed: 11, ..Plan::default() }).await;
    let removed = deployment.start_target(Service::First, "a");
    let leaving = deployment.start_target(Service::First, "b");
    deployment.begin_publishing();
    sleep(WARM_UP).await;
    let copy = deployment.platform.revision();
    let start = deployment.start_time();
    for target in [&removed, &leaving] {
        assert!(target.calls_between(start, Instant::now()) > 0, "a target got no call");
    }

    let gone = Change::Gone(Arc::clone(&removed.record.name));
    let left = Change::Target(TargetRecord { leaving: true, ..leaving.record.clone() });
    assert!(deployment.platform.publish(gone.clone()), "the platform is away");
    assert!(deployment.platform.publish(left.clone()), "the platform is away");
    let registered = deployment.start_target(Service::Extra, "a");
    sleep(CONFIG_BOUND + SLACK).await;
    let changed = Instant::now();

    deployment.platform.leave();
    sleep(AWAY_TIME).await;
    let lost = usize::try_from(deployment.platform.revision() - copy).expect("few changes");
    deployment.operator.restore(lost);
    sleep(REWRITE_DELAY).await;
    for change in [gone, left, Change::Target(registered.record.clone())] {
        assert!(deployment.platform.publish(change), "the platform is away");
    }
    sleep(FOLLOW_UP).await;

    let end = Instant::now();
    let (served, made) = deployment.calls_of(Service::Extra.name(), changed, end);
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    assert_eq!(removed.calls_between(changed, end), 0, "calls to a removed target; {verdict}");
    assert_eq!(leaving.calls_between(changed, end), 0, "calls to a leaving target; {verdict}");
    assert!(made >= LEAST_CALLS, "{made} calls; {verdict}");
    assert_eq!(served, made, "calls for a registered target failed; {verdict}");
    assert!(verdict.reverted.is_empty(), "{verdict}");
}

/// A target was never used that had been registered under a revision which gateways knew from before
/// the restore: the next poll after that revision did not report it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_registered_under_a_reused_revision_is_used() {
    let mut deployment = Deployment::start(Plan { seed: 13, ..Plan::default() }).await;
    deployment.begin_publishing();
    sleep(SHORT_WARM_UP).await;
    deployment.end_publishing();
    sleep(CONFIG_BOUND + SLACK).await;
    deployment.restore(LOST_CHANGES).await;
    deployment.start_target(Service::Extra, "a");
    // The counter passes the revision that gateways know before they poll again.
    for _ in 0..LOST_CHANGES {
        deployment.operator.publish_next();
    }
    sleep(JOIN_BOUND).await;
    let due = Instant::now();
    sleep(FOLLOW_UP).await;
    let (served, made) = deployment.calls_of(Service::Extra.name(), due, Instant::now());
    let verdict = deployment.verdict();
    deployment.shut_down().await;
    assert!(made >= LEAST_CALLS, "{made} calls; {verdict}");
    assert_eq!(served, made, "calls for a registered target failed; {verdict}");
    verdict.assert_settings_current();
}
