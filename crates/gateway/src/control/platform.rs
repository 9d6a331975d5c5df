//! Reads what the platform publishes, while this gateway is the one to do so.

use crate::{
    adapter::{CallAdapter, PlatformAdapter, PlatformUpdate, ReadError},
    gateway::Gateway,
    http::Client,
};
use azuretally_policy::balance::Source;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time in which the platform has to answer.
const LIMIT: Duration = Duration::from_millis(900);
/// Time for which the platform may wait for a change; targets change their records all the time.
const WAIT: Duration = Duration::from_millis(400);
/// First and longest pause after a failed read.
const PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1_200));
/// Time after which a gateway that need not read looks again.
const IDLE: Duration = Duration::from_millis(150);
/// Pages of one list.
const PAGES: u32 = 200;

/// Reads until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut link = Client::new(gateway.settings().platform);
    let mut failures: u32 = 0;
    let mut listed = false;
    loop {
        if gateway.catalog.borrow_mut().tick(gateway.clock.now()) {
            gateway.apply_catalog(Source::Platform);
        }
        if !is_reader(&gateway) {
            sleep(IDLE).await;
            continue;
        }
        let address = gateway.settings().platform;
        if link.address() != address {
            link = Client::new(address);
        }
        let known = gateway.catalog.borrow().revision() > 0;
        let result = if listed && known {
            follow(&gateway, &mut link).await.map(|()| true)
        } else {
            list(&gateway, &mut link).await
        };
        match result {
            Ok(whole) => {
                if failures > 0 {
                    log::info!("control: platform answers again, failures={failures}");
                }
                listed = whole;
                failures = 0;
                gateway.metrics.record_platform_read("ok");
                sleep(gateway.settings().read_interval()).await;
            }
            Err(e) => {
                gateway.metrics.record_platform_read("failed");
                log::info!("control: platform read failed: {e}");
                listed &= e != ReadError::Compacted;
                failures += 1;
                let pause = PAUSE.0 * (1 << failures.min(5));
                let jitter = 0.75 + 0.5 * rand::random::<f64>();
                sleep(pause.min(PAUSE.1).mul_f64(jitter)).await;
            }
        }
    }
}

fn is_reader<Adapter>(gateway: &Gateway<Adapter>) -> bool
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let age = gateway.catalog.borrow().age(now);
    gateway.membership.borrow().is_reader(now, age)
}

/// Reads everything. Returns whether it did: the rest of a long list is left to another gateway that
/// turns out to come first.
async fn list<Adapter>(gateway: &Gateway<Adapter>, link: &mut Client) -> Result<bool, ReadError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut all = PlatformUpdate::default();
    let mut after: Option<String> = None;
    for _ in 0..PAGES {
        let path = gateway.adapter.list_path(after.as_deref());
        let (status, body) =
            link.get(&path, LIMIT).await.map_err(|e| ReadError::Transport(e.as_str()))?;
        let page = gateway.adapter.parse_list(status, &body)?;
        // Pages are no snapshot: what changed since the first one is read again.
        all.revision = if after.is_none() { page.revision } else { all.revision };
        all.changes.extend(page.changes);
        all.unreadable += page.unreadable;
        after = page.next;
        if after.is_none() {
            break;
        }
        if !is_reader(gateway) {
            log::info!("control: list left to the gateways before this one");
            return Ok(false);
        }
    }
    let now = gateway.clock.now();
    log::info!("control: list revision={} unreadable={}", all.revision, all.unreadable);
    let changed =
        gateway.catalog.borrow_mut().relist(now, all.revision, all.changes, Source::Platform);
    settle(gateway, changed);
    Ok(true)
}

async fn follow<Adapter>(gateway: &Gateway<Adapter>, link: &mut Client) -> Result<(), ReadError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let after = gateway.catalog.borrow().revision();
    let path = gateway.adapter.changes_path(after, WAIT);
    let (status, body) =
        link.get(&path, LIMIT).await.map_err(|e| ReadError::Transport(e.as_str()))?;
    let news = gateway.adapter.parse_changes(status, &body)?;
    let now = gateway.clock.now();
    if news.unreadable > 0 {
        log::info!("control: revision={} unreadable={}", news.revision, news.unreadable);
    }
    let changed =
        gateway.catalog.borrow_mut().apply(now, news.revision, news.changes, Source::Platform);
    settle(gateway, changed);
    Ok(())
}

fn settle<Adapter>(gateway: &Gateway<Adapter>, changed: bool)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    if changed {
        gateway.apply_catalog(Source::Platform);
    } else {
        gateway.refresh_membership();
    }
}
