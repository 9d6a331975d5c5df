//! Reads the platform's store while the membership makes this gateway a reader.

use crate::{
    adapter::{CallAdapter, EraField, PlatformAdapter, PlatformUpdate, ReadError},
    gateway::Gateway,
    http::Client,
};
use azuretally_policy::balance::{Revision, Source};
use bytes::Bytes;
use http::Response;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Timeout for a response of the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which the platform may hold a long poll open. Short, since targets update their records
/// all the time.
const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// Base and maximum delay of the exponential backoff after failed reads, before jitter. The first
/// delay is twice the base.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1_200));
/// Maximum number of times that the base delay doubles. The maximum delay is reached earlier.
const MAX_DOUBLINGS: u32 = 5;
/// Lower bound of the random factor on a backoff delay: ratio of the delay with jitter to the one
/// without.
const MIN_JITTER: f64 = 0.75;
/// Width of the range of the random factor on a backoff delay, from [`MIN_JITTER`] up.
const JITTER_WIDTH: f64 = 0.5;
/// Interval at which a gateway that is not a reader checks whether it has become one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of pages that are read for one list.
const MAX_PAGES: u32 = 200;

/// Reads the platform while this gateway is a reader, until the task is dropped: a full list first,
/// then changes by long polling.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut client = Client::new(gateway.settings().platform);
    let mut failures: u32 = 0;
    let mut list_complete = false;
    loop {
        if !is_reader(&gateway) {
            // It may become one as soon as it has found the others.
            tokio::select! {
                () = sleep(READER_CHECK_INTERVAL) => {}
                () = gateway.changed.notified() => {}
            }
            continue;
        }
        let address = gateway.settings().platform;
        if client.address() != address {
            client = Client::new(address);
            // Its revisions have nothing to do with those of the one before.
            list_complete = false;
        }
        // After what a peer of an earlier build has delivered, changes of the evacuations may be missing.
        let is_complete = {
            let catalog = gateway.catalog.borrow();
            !catalog.revision().is_unknown() && !catalog.lacks_evacuations()
        };
        let polls = list_complete && is_complete;
        let result = match polls {
            true => poll_changes(&gateway, &mut client).await.map(|()| true),
            false => read_all(&gateway, &mut client).await,
        };
        match result {
            Ok(complete) => {
                if failures > 0 {
                    log::info!("control: platform answers again, failures={failures}");
                }
                list_complete = complete;
                failures = 0;
                gateway.metrics.record_platform_read("ok");
                sleep(gateway.settings().read_interval()).await;
            }
            Err(e) => {
                gateway.metrics.record_platform_read("failed");
                log::info!("control: platform read failed: {e}");
                let needs_list =
                    matches!(e, ReadError::Compacted | ReadError::Restored | ReadError::Outdated);
                list_complete &= !needs_list;
                // The platform has answered a poll, so the list can be read at once.
                if polls && needs_list {
                    continue;
                }
                failures += 1;
                gateway.membership.borrow_mut().record_reads(failures);
                let delay = BACKOFF.0 * (1 << failures.min(MAX_DOUBLINGS));
                let jitter = MIN_JITTER + JITTER_WIDTH * rand::random::<f64>();
                sleep(delay.min(BACKOFF.1).mul_f64(jitter)).await;
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

/// Reads the full list and applies it to the catalog. Returns `false` without applying anything if,
/// between two pages, a gateway ranked before this one turned out to read the platform.
async fn read_all<Adapter>(
    gateway: &Gateway<Adapter>,
    client: &mut Client,
) -> Result<bool, ReadError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let known = gateway.catalog.borrow().revision();
    let mut list = PlatformUpdate::default();
    let mut era = None;
    let mut after: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = gateway.adapter.list_path(after.as_deref());
        let answer = get(gateway, client, &path).await?;
        let page = gateway.adapter.parse_list(answer.response.status(), answer.response.body())?;
        if *era.get_or_insert(answer.era) != answer.era {
            return Err(ReadError::Restored);
        }
        // Pages are not a consistent snapshot: changes after the first page are polled again.
        list.revision = if after.is_none() { page.revision } else { list.revision };
        list.changes.extend(page.changes);
        list.unreadable += page.unreadable;
        after = page.next;
        if after.is_none() {
            break;
        }
        if !is_reader(gateway) {
            log::info!(
                "control: list abandoned because a higher-ranked gateway reads the platform"
            );
            return Ok(false);
        }
    }
    if after.is_some() {
        return Err(ReadError::TooLong);
    }
    let now = gateway.clock.now();
    let revision = Revision::new(era.unwrap_or(known.era), list.revision);
    log::info!("control: list revision={revision}");
    report_unreadable(gateway, revision, list.unreadable);
    let is_old = report_old_data(gateway, revision, known);
    let changed =
        gateway.catalog.borrow_mut().relist(now, revision, list.changes, Source::Platform);
    apply_if_changed(gateway, changed);
    match is_old {
        true => Err(ReadError::Outdated),
        false => Ok(true),
    }
}

async fn poll_changes<Adapter>(
    gateway: &Gateway<Adapter>,
    client: &mut Client,
) -> Result<(), ReadError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let known = gateway.catalog.borrow().revision();
    let path = gateway.adapter.changes_path(known.number, LONG_POLL_WAIT);
    let answer = get(gateway, client, &path).await?;
    // The changes after a revision of another era say nothing.
    if answer.era > known.era {
        return Err(ReadError::Restored);
    }
    let update = gateway.adapter.parse_changes(answer.response.status(), answer.response.body())?;
    let revision = Revision::new(answer.era, update.revision);
    if report_old_data(gateway, revision, known) {
        return Err(ReadError::Restored);
    }
    let now = gateway.clock.now();
    report_unreadable(gateway, revision, update.unreadable);
    let changed =
        gateway.catalog.borrow_mut().apply(now, revision, update.changes, Source::Platform);
    apply_if_changed(gateway, changed);
    Ok(())
}

/// Logs and counts parts of an answer that could not be read.
fn report_unreadable<Adapter>(gateway: &Gateway<Adapter>, revision: Revision, unreadable: u32) {
    if unreadable > 0 {
        log::warn!("control: revision={revision} unreadable={unreadable}");
        gateway.metrics.unreadable_records.inc_by(u64::from(unreadable));
    }
}

/// Logs and counts data that the catalog ignores, since the revision `known` before the request was
/// later. Returns whether that is so.
fn report_old_data<Adapter>(
    gateway: &Gateway<Adapter>,
    revision: Revision,
    known: Revision,
) -> bool {
    let is_old = revision < known;
    if is_old {
        log::info!("control: platform data of revision={revision} ignored, known={known}");
        gateway.metrics.record_platform_read("ignored");
    }
    is_old
}

/// Response of the platform with the era of its data.
#[derive(Debug)]
struct PlatformAnswer {
    /// The present era if the response names none.
    era: u64,
    response: Response<Bytes>,
}

/// Sends a request to the platform, and logs a change of the era that it names.
async fn get<Adapter>(
    gateway: &Gateway<Adapter>,
    client: &mut Client,
    path: &str,
) -> Result<PlatformAnswer, ReadError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let response = client.get(path, REQUEST_TIMEOUT).await;
    let response = response.map_err(|e| ReadError::Transport(e.as_str()))?;
    let known = gateway.catalog.borrow().revision();
    let era = match gateway.adapter.parse_era(response.headers()) {
        EraField::Named(era) if Revision::new(era, 0).may_follow(known) => era,
        EraField::Absent => known.era,
        EraField::Named(_) | EraField::Unreadable => {
            log::info!("control: platform names an unusable era; assumed era={}", known.era);
            known.era
        }
    };
    if era != known.era {
        log::info!("control: platform era={era} before={}", known.era);
    }
    Ok(PlatformAnswer { era, response })
}

/// Applies the catalog if a read changed it; otherwise only reports its age to the membership.
fn apply_if_changed<Adapter>(gateway: &Gateway<Adapter>, changed: bool)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    gateway.membership.borrow_mut().record_reads(0);
    if changed {
        gateway.apply_catalog(Source::Platform);
    } else {
        gateway.refresh_membership();
    }
}
