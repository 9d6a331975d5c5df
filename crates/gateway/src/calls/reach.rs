//! Checks whether this gateway reaches any target, when the balancer asks for it.

use super::{lateness::was_on_time, pool::ConnectionPool, probe};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::balance::Probe;
use std::{rc::Rc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time for a target to accept a connection and to answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Makes checks when they are due, until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<ConnectionPool>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        let failed = gateway.target_failed.notified();
        let changed = gateway.changed.notified();
        let now = gateway.clock.now();
        let due = gateway.reach_check_due();
        if due <= now {
            check(&gateway, &pool).await;
            continue;
        }
        tokio::select! {
            () = sleep(due.since(now)) => {}
            () = failed => {}
            () = changed => {}
        }
    }
}

/// Asks the targets that the balancer chooses, until one has answered.
async fn check<Adapter>(gateway: &Rc<Gateway<Adapter>>, pool: &Rc<ConnectionPool>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut targets = gateway.balancer.borrow_mut().start_reach_check(gateway.clock.now());
    // Only the settings of its service tell what to ask a target.
    let table = gateway.routes();
    let services = table.as_ref().map(|t| &t.published().services);
    targets.retain(|t| services.is_some_and(|s| s.contains_key(&t.service)));
    let asked = targets.len();
    for target in &targets {
        gateway.metrics.record_attempt(&target.service, "reach-check");
    }
    let (is_answered, on_time) = was_on_time(any_answers(gateway, pool, targets)).await;
    match is_answered || on_time {
        true => gateway.reach_checked(asked, usize::from(is_answered)),
        false => gateway.reach_check_void(),
    }
}

/// Asks `targets` at the same time. Returns whether one has answered, as soon as one has.
pub(super) async fn any_answers<Adapter>(
    gateway: &Rc<Gateway<Adapter>>,
    pool: &Rc<ConnectionPool>,
    targets: Vec<Probe>,
) -> bool
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut requests = JoinSet::new();
    for target in targets {
        requests.spawn_local(ask(Rc::clone(gateway), Rc::clone(pool), target));
    }
    while let Some(result) = requests.join_next().await {
        if result.is_ok_and(|is_answered| is_answered) {
            return true;
        }
    }
    false
}

/// Returns whether a target answers on a new connection.
async fn ask<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    pool: Rc<ConnectionPool>,
    target: Probe,
) -> bool
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let exchange = async {
        gateway.metrics.target_connections.inc();
        let connection = pool.connect(target.address).await.ok()?;
        probe::request(&gateway, &pool, &target, connection).await
    };
    timeout(CHECK_TIMEOUT, exchange).await.is_ok_and(|result| result.is_some())
}
