//! Heartbeats between gateways, and detection of failed peers.

use super::{
    codec::{MessageKind, decode_message, encode_message},
    servers::LIVENESS_PATH,
    sync::newer_peer,
};
use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    http::{Client, ClientError},
};
use azuretally_policy::{
    Timestamp,
    balance::{Message, Outgoing, Source},
};
use error_stack::{Report, ResultExt};
use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::UdpSocket, time::sleep};

/// Maximum size of a received datagram, in bytes: more than UDP over IPv4 can carry. What is longer is cut
/// off.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum time between two ticks of the membership.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a liveness connection to a peer is replaced.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Delay before a peer is watched again after its connection ended, and between checks for a peer
/// to watch.
const WATCH_DELAY: Duration = Duration::from_millis(300);
/// Interval between checks whether the watched peer is still the one to watch, as a multiple of
/// [`WATCH_DELAY`].
const PEER_CHECK_FACTOR: u32 = 4;

/// Interval at which the share of the fleet's budgets is computed anew while no gateway comes or goes.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// UDP socket for heartbeats.
#[derive(Debug)]
pub struct HeartbeatSocket {
    socket: UdpSocket,
}

impl HeartbeatSocket {
    /// Binds the socket to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Bind`] if the address cannot be used.
    pub async fn bind(address: SocketAddr) -> Result<Self, Report<StartError>> {
        let socket = UdpSocket::bind(address).await.change_context(StartError::Bind(address))?;
        Ok(Self { socket })
    }
}

/// Sends and receives heartbeats until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>, heartbeats: HeartbeatSocket)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let socket = heartbeats.socket;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut share_due = Timestamp::default();
    loop {
        let now = gateway.clock.now();
        if gateway.catalog.borrow_mut().tick(now) || gateway.may_use_settings() {
            gateway.apply_catalog(Source::Platform);
        }
        gateway.refresh_membership();
        gateway.refresh_relays();
        gateway.exchange_limits();
        gateway.assign_cold_targets();
        gateway.exchange_calls();
        let outgoing = gateway.membership.borrow_mut().tick(now);
        send(&gateway, &socket, &outgoing).await;
        if report_membership_changes(&gateway) || now >= share_due {
            gateway.update_load_shares();
            share_due = now + SHARE_INTERVAL;
        }
        let changed = gateway.changed.notified();
        let waits_from = gateway.clock.now();
        let due = gateway.membership.borrow().next_tick().since(waits_from).min(MAX_TICK_INTERVAL);
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    handle_datagram(&gateway, &socket, from.ip(), &buffer[..length]).await;
                }
                Err(e) => log::debug!("control: cannot receive heartbeat: {e}"),
            },
            () = sleep(due) => gateway.record_timer(waits_from + due),
            () = changed => {}
        }
    }
}

async fn handle_datagram<Adapter>(
    gateway: &Gateway<Adapter>,
    socket: &UdpSocket,
    from: IpAddr,
    bytes: &[u8],
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let message = match decode_message(bytes) {
        Ok(message) => message,
        Err(e) => {
            log::debug!("control: cannot decode datagram from {from}: {e}");
            gateway.record_unreadable_message(MessageKind::of_datagram(bytes), from);
            return;
        }
    };
    let outgoing = match message {
        Message::Limits(notices) => match gateway.merge_limits(from, &notices) {
            unknown if unknown.is_empty() => Vec::new(),
            unknown => vec![Outgoing { to: from, message: Message::Limits(unknown) }],
        },
        Message::Calls(notices) => gateway.merge_calls(from, &notices),
        message => gateway.membership.borrow_mut().receive(now, from, message),
    };
    send(gateway, socket, &outgoing).await;
    confirm_age(gateway);
}

/// Lowers the age of the catalog to the age reported by peers that know of no later revision, and
/// wakes the sync task if a peer has a newer revision.
fn confirm_age<Adapter>(gateway: &Gateway<Adapter>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let revision = gateway.catalog.borrow().revision();
    let has_newer = newer_peer(gateway).is_some();
    let membership = gateway.membership.borrow();
    if let Some(age) = membership.confirmed_age(now, revision)
        && !revision.is_unknown()
    {
        let source = Source::Peer(age);
        gateway.catalog.borrow_mut().apply(now, revision, Vec::new(), source);
    }
    if has_newer {
        drop(membership);
        gateway.changed.notify_waiters();
    }
}

/// Logs changes of the membership, updates the metrics and notifies the other tasks. Returns whether there
/// were any.
fn report_membership_changes<Adapter>(gateway: &Gateway<Adapter>) -> bool
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let (lines, warnings) = {
        let mut membership = gateway.membership.borrow_mut();
        (membership.take_log_lines(), membership.take_warnings())
    };
    for warning in &warnings {
        log::warn!("control: {warning}");
    }
    if lines.is_empty() {
        return false;
    }
    for line in &lines {
        log::info!("control: {line}");
    }
    let alive = gateway.membership.borrow().alive_count();
    gateway.metrics.alive_gateways.set(i64::try_from(alive).unwrap_or(i64::MAX));
    gateway.changed.notify_waiters();
    true
}

async fn send<Adapter>(gateway: &Gateway<Adapter>, socket: &UdpSocket, outgoing: &[Outgoing])
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let port = gateway.settings().listen.heartbeats.port();
    for Outgoing { to, message } in outgoing {
        let bytes = match encode_message(message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("control: cannot encode heartbeat: {e}");
                continue;
            }
        };
        if let Err(e) = socket.send_to(&bytes, SocketAddr::new(*to, port)).await {
            log::debug!("control: cannot send heartbeat to {to}: {e}");
        }
    }
}

/// Keeps a connection open to the highest-ranked gateway of the failure domain, unless it is this
/// one, so that the end of its process is noticed at once.
pub(super) async fn watch<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        let watched = gateway.membership.borrow().watched_peer();
        let Some((host, ip)) = watched else {
            sleep(WATCH_DELAY).await;
            continue;
        };
        let port = gateway.settings().listen.news.port();
        let mut client = Client::new(SocketAddr::new(ip, port));
        let result = tokio::select! {
            response = client.get(LIVENESS_PATH, WATCH_TIMEOUT) => response,
            () = watched_peer_changed(&gateway, &host) => continue,
        };
        // Only a closed connection proves that the process ended; a timeout may be a lost packet.
        if matches!(result, Err(ClientError::Broken)) {
            let now = gateway.clock.now();
            gateway.membership.borrow_mut().connection_lost(now, &host);
            gateway.changed.notify_waiters();
        }
        sleep(WATCH_DELAY).await;
    }
}

/// Waits until the peer to watch is no longer `host`.
async fn watched_peer_changed<Adapter>(gateway: &Gateway<Adapter>, host: &str) {
    loop {
        sleep(WATCH_DELAY * PEER_CHECK_FACTOR).await;
        let watched = gateway.membership.borrow().watched_peer();
        if watched.is_none_or(|(current, _)| &*current != host) {
            return;
        }
    }
}
