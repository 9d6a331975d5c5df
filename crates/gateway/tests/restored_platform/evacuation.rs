//! Evacuations of a failure domain.

use super::{
    deployment::{Deployment, Plan},
    target::{Service, Target},
};
use azuretally_policy::balance::Change;
use rustix::process::Signal;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Failure domain that is evacuated. Gateways 0 and 3 are in it.
const EVACUATED: &str = "a";
/// Gateway that the platform turns away, of another failure domain.
const TURNED_AWAY: u8 = 4;
/// Time after the key was written from which no request may reach a target of the domain.
const BOUND: Duration = Duration::from_secs(5);
/// Time for which calls are made before the evacuation, and for which it is watched.
const WATCHED: Duration = Duration::from_secs(2);
/// Time in which targets have to get calls again after the end of the evacuation.
const RETURN_TIME: Duration = Duration::from_secs(5);

fn evacuate(deployment: &Deployment, active: bool) {
    let change = Change::Evacuation { domain: Arc::from(EVACUATED), active };
    assert!(deployment.platform.publish(change), "the platform is away");
}

fn requests(targets: &[Arc<Target>], from: Instant) -> usize {
    targets.iter().map(|target| target.requests_since(from)).sum()
}

/// Requests of all kinds went on reaching targets of an evacuated domain, also from gateways that cannot read
/// the platform and from those that started during the evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuated_targets_get_no_requests_until_the_end_of_the_evacuation() {
    let plan = Plan { seed: 11, refused: vec![TURNED_AWAY], ..Plan::default() };
    let mut deployment = Deployment::start(plan).await;
    let services = [Service::First, Service::Second];
    let targets = services.map(|service| deployment.start_target(service, EVACUATED));
    let started = Instant::now();
    sleep(WATCHED).await;
    assert!(requests(&targets, started) > 0, "no target of the domain was used before");
    evacuate(&deployment, true);
    sleep(BOUND).await;
    let evacuated = Instant::now();
    sleep(WATCHED).await;
    deployment.nodes[usize::from(TURNED_AWAY)].replace(Signal::TERM).await;
    deployment.nodes[1].replace(Signal::KILL).await;
    let restarted = Instant::now();
    sleep(WATCHED).await;
    let until = Instant::now();
    assert_eq!(requests(&targets, evacuated), 0);
    for node in [0, 1, TURNED_AWAY] {
        assert!(deployment.served_by(node, restarted, until) > 0, "gateway {node} serves no calls");
    }
    evacuate(&deployment, false);
    sleep(RETURN_TIME).await;
    assert!(requests(&targets, until) > 0, "the evacuation did not end");
    deployment.shut_down().await;
}
