//! Fetches catalog updates from a peer that has a newer revision than this gateway.

use super::{
    codec::{MessageKind, SyncAnswer, SyncQuery},
    servers::SYNC_PATH,
};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    http::{Client, ClientError},
};
use azuretally_policy::balance::{Catalog, KnownData, Source};
use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::time::sleep;

/// Timeout for the response of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed fetch.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after a fetch that brought nothing new.
const REPEAT_DELAY: Duration = Duration::from_millis(500);

/// Fetches updates whenever a peer has a newer revision, until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        let changed = gateway.changed.notified();
        let Some((host, ip)) = newer_peer(&gateway) else {
            changed.await;
            continue;
        };
        let address = SocketAddr::new(ip, gateway.settings().listen.news.port());
        let result = fetch(&gateway, address).await;
        if matches!(result, Ok(true)) {
            continue;
        }
        let now = gateway.clock.now();
        let was_doubtful = gateway.membership.borrow().is_doubtful(now, &host);
        gateway.membership.borrow_mut().update_failed(now, &host);
        match result {
            // The peer has gone back on what its heartbeat says, or its build is too old to tell. There
            // was no better one if it did so before.
            Ok(_) if was_doubtful => sleep(REPEAT_DELAY).await,
            Ok(_) => sleep(RETRY_DELAY).await,
            Err(e) => {
                log::info!("control: update from peer {address} failed: {}", e.as_str());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the peer to fetch an update from, if one has later data or evacuations that are missing here.
pub(super) fn newer_peer<Adapter>(gateway: &Gateway<Adapter>) -> Option<(Arc<str>, IpAddr)>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let catalog = gateway.catalog.borrow();
    let membership = gateway.membership.borrow();
    let lacking = catalog.lacks_evacuations().then(|| catalog.evacuations_revision());
    lacking
        .and_then(|complete| membership.evacuation_peer(now, complete))
        .or_else(|| membership.newer_peer(now, known_data(&catalog), catalog.age(now)))
        .or_else(|| membership.cold_rates_peer(now).filter(|_| catalog.lacks_cold_rates()))
}

/// Returns what this gateway knows, target heartbeats included.
pub(super) fn known_data(catalog: &Catalog) -> KnownData {
    KnownData { revision: catalog.revision(), settings: catalog.settings_version() }
}

/// Fetches an update. Returns whether this gateway knows more than before.
async fn fetch<Adapter>(
    gateway: &Gateway<Adapter>,
    address: SocketAddr,
) -> Result<bool, ClientError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let known = known_data(&gateway.catalog.borrow());
    let known_evacuations = gateway.catalog.borrow().evacuations_revision();
    let query = SyncQuery { revision: known.revision, settings: Some(known.settings) };
    let path = format!("{SYNC_PATH}?{query}");
    let response = Client::new(address).get(&path, FETCH_TIMEOUT).await?;
    if !response.status().is_success() {
        return Err(ClientError::Broken);
    }
    let answer = SyncAnswer::decode(response.body()).map_err(|_| {
        gateway.record_unreadable_message(MessageKind::Update, address.ip());
        ClientError::Broken
    })?;
    let SyncAnswer { age: Some(age), era, update, evacuations, cold_rates } = answer else {
        return Err(ClientError::Broken);
    };
    let now = gateway.clock.now();
    let source = Source::Peer(age);
    let changed = {
        let mut catalog = gateway.catalog.borrow_mut();
        let mut changed = catalog.apply_update(now, era, update, source);
        if let Some(notice) = &evacuations {
            changed |= catalog.apply_evacuations(era, notice);
        }
        changed
    };
    let has_rates =
        cold_rates.is_some_and(|rates| gateway.catalog.borrow_mut().apply_cold_rates(&rates));
    let latest = known_data(&gateway.catalog.borrow());
    let latest_evacuations = gateway.catalog.borrow().evacuations_revision();
    log::debug!(
        "control: update from peer {address} after={} revision={} changed={changed}",
        known.revision,
        latest.revision,
    );
    if changed || has_rates {
        gateway.apply_catalog(source);
    } else {
        gateway.refresh_membership();
    }
    Ok(latest != known || latest_evacuations != known_evacuations || has_rates)
}
