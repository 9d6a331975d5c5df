//! Fetches news from a peer that knows more than this gateway.

use super::servers::{AFTER, NEWS_PATH};
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

/// Time in which a peer has to tell what it knows.
const LIMIT: Duration = Duration::from_millis(500);
/// Pause after a peer did not.
const PAUSE: Duration = Duration::from_millis(100);

/// Follows the peers until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        let changed = gateway.changed.notified();
        let Some(peer) = wanted(&gateway) else {
            changed.await;
            continue;
        };
        let address = SocketAddr::new(peer, gateway.settings().listen.news.port());
        if let Err(e) = fetch(&gateway, address).await {
            log::info!("control: news from peer {address} failed: {}", e.as_str());
            sleep(PAUSE).await;
        }
    }
}

fn wanted<Adapter>(gateway: &Gateway<Adapter>) -> Option<IpAddr>
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
    let path = format!("{NEWS_PATH}?{AFTER}{known}");
    let (status, body) = Client::new(address).get(&path, LIMIT).await?;
    if !status.is_success() {
        return Err(ClientError::Broken);
    }
    let told: (Option<Duration>, CatalogUpdate) =
        postcard::from_bytes(&body).map_err(|_| ClientError::Broken)?;
    let (Some(age), told) = told else { return Err(ClientError::Broken) };
    let now = gateway.clock.now();
    let source = Source::Peer(age);
    let changed = gateway.catalog.borrow_mut().apply_update(now, told, source);
    let revision = gateway.catalog.borrow().revision();
    log::debug!("control: news from {address} after={known} revision={revision} changed={changed}");
    if changed {
        gateway.apply_catalog(source);
    } else {
        gateway.refresh_membership();
    }
    Ok(())
}
