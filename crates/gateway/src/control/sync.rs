//! Fetches catalog updates from a peer that has a newer revision than this gateway.

use super::servers::{AFTER_QUERY, SYNC_PATH};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    http::{Client, ClientError},
};
use azuretally_policy::balance::{CatalogUpdate, Source};
use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Timeout for the response of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed fetch.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Fetches updates whenever a peer has a newer revision, until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        let changed = gateway.changed.notified();
        let Some(peer) = newer_peer(&gateway) else {
            changed.await;
            continue;
        };
        let address = SocketAddr::new(peer, gateway.settings().listen.news.port());
        if let Err(e) = fetch(&gateway, address).await {
            log::info!("control: update from peer {address} failed: {}", e.as_str());
            sleep(RETRY_DELAY).await;
        }
    }
}

fn newer_peer<Adapter>(gateway: &Gateway<Adapter>) -> Option<IpAddr>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let catalog = gateway.catalog.borrow();
    let membership = gateway.membership.borrow();
    membership.newer_peer(now, catalog.revision(), catalog.age(now)).map(|(_, ip)| ip)
}

async fn fetch<Adapter>(gateway: &Gateway<Adapter>, address: SocketAddr) -> Result<(), ClientError>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let known = gateway.catalog.borrow().revision();
    let path = format!("{SYNC_PATH}?{AFTER_QUERY}{known}");
    let response = Client::new(address).get(&path, FETCH_TIMEOUT).await?;
    if !response.status().is_success() {
        return Err(ClientError::Broken);
    }
    let decoded: (Option<Duration>, CatalogUpdate) =
        postcard::from_bytes(response.body()).map_err(|_| ClientError::Broken)?;
    let (Some(age), update) = decoded else { return Err(ClientError::Broken) };
    let now = gateway.clock.now();
    let source = Source::Peer(age);
    let changed = gateway.catalog.borrow_mut().apply_update(now, update, source);
    let revision = gateway.catalog.borrow().revision();
    log::debug!(
        "control: update from peer {address} after={known} revision={revision} changed={changed}"
    );
    if changed {
        gateway.apply_catalog(source);
    } else {
        gateway.refresh_membership();
    }
    Ok(())
}
