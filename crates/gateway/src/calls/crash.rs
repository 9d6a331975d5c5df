//! Checks whether targets at which attempts broke off have ended, when the balancer asks for it.

use super::{lateness::was_on_time, pool::ConnectionPool, probe, reach};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::balance::{CrashCheck, CrashEvidence, Probe};
use std::{rc::Rc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time for a target to accept a connection and to answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between the two looks at a target.
const SECOND_LOOK_DELAY: Duration = Duration::from_millis(250);

/// Makes checks when they are due, until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<ConnectionPool>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut checks = JoinSet::new();
    loop {
        let broken = gateway.attempt_broken.notified();
        let now = gateway.clock.now();
        let due = gateway.balancer.borrow().crash_checks_due();
        if due <= now {
            for check in gateway.take_crash_checks() {
                checks.spawn_local(make(Rc::clone(&gateway), Rc::clone(&pool), check));
            }
            continue;
        }
        tokio::select! {
            () = sleep(due.since(now)) => {}
            () = broken => {}
            Some(_) = checks.join_next() => {}
        }
    }
}

async fn make<Adapter>(gateway: Rc<Gateway<Adapter>>, pool: Rc<ConnectionPool>, check: CrashCheck)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let evidence = match was_on_time(examine(&gateway, &pool, &check)).await {
        (CrashEvidence::Gone, false) => CrashEvidence::Unproved,
        (evidence, _) => evidence,
    };
    gateway.crash_checked(&check, evidence);
}

async fn examine<Adapter>(
    gateway: &Rc<Gateway<Adapter>>,
    pool: &Rc<ConnectionPool>,
    check: &CrashCheck,
) -> CrashEvidence
where
    Adapter: CallAdapter + PlatformAdapter,
{
    if is_alive(gateway, pool, &check.target).await {
        return CrashEvidence::Alive;
    }
    sleep(SECOND_LOOK_DELAY).await;
    let witnessed = reach::any_answers(gateway, pool, check.witnesses.clone());
    match tokio::join!(is_alive(gateway, pool, &check.target), witnessed) {
        (true, _) => CrashEvidence::Alive,
        (false, witnessed) if witnessed || check.witnesses.is_empty() => CrashEvidence::Gone,
        (false, _) => CrashEvidence::Unproved,
    }
}

/// Returns whether the target answers on a new connection. A target that has named a limit or rests is
/// asked nothing: it counts as alive if it accepts the connection.
async fn is_alive<Adapter>(
    gateway: &Rc<Gateway<Adapter>>,
    pool: &Rc<ConnectionPool>,
    target: &Probe,
) -> bool
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway.metrics.record_attempt(&target.service, "crash-check");
    let exchange = async {
        gateway.metrics.target_connections.inc();
        let connection = pool.connect(target.address).await.ok()?;
        if target.is_silent() {
            return Some(true);
        }
        let head = probe::request(gateway, pool, target, connection).await?;
        let name = gateway.adapter.parse_probe_response(&head.headers).target;
        Some(name.is_none_or(|name| name == target.target))
    };
    timeout(CHECK_TIMEOUT, exchange).await.is_ok_and(|alive| alive == Some(true))
}
