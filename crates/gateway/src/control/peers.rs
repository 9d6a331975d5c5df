//! Heartbeats between gateways.

use super::servers::LIFE_PATH;
use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
    http::{Client, ClientError},
};
use azuretally_policy::balance::{Message, Outgoing, Source};
use error_stack::{Report, ResultExt};
use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::UdpSocket, time::sleep};

/// Largest datagram.
const DATAGRAM_BYTES: usize = 2_048;
/// Longest time between two looks at the clock.
const LOOK: Duration = Duration::from_millis(250);
/// Time after which a connection that only tells of a peer's life is made anew.
const LIFE: Duration = Duration::from_secs(3_600);
/// Pause before a peer whose connection broke is watched again.
const PAUSE: Duration = Duration::from_millis(300);

/// Socket for heartbeats.
#[derive(Debug)]
pub struct HeartbeatSocket {
    socket: UdpSocket,
}

impl HeartbeatSocket {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// [`StartError::Bind`] when it cannot be used.
    pub async fn bind(address: SocketAddr) -> Result<Self, Report<StartError>> {
        let socket = UdpSocket::bind(address).await.change_context(StartError::Bind(address))?;
        Ok(Self { socket })
    }
}

/// Sends and takes in heartbeats until the task is dropped.
pub(super) async fn run<Adapter>(gateway: Rc<Gateway<Adapter>>, heartbeats: HeartbeatSocket)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let socket = heartbeats.socket;
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let now = gateway.clock.now();
        gateway.refresh_membership();
        let outgoing = gateway.membership.borrow_mut().tick(now);
        send(&gateway, &socket, &outgoing).await;
        note(&gateway);
        let changed = gateway.changed.notified();
        let due = gateway.membership.borrow().next_tick().since(gateway.clock.now()).min(LOOK);
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((bytes, from)) => {
                    let message = postcard::from_bytes(&buffer[..bytes]);
                    receive(&gateway, &socket, from.ip(), message).await;
                }
                Err(e) => log::debug!("control: heartbeat not received: {e}"),
            },
            () = sleep(due) => {}
            () = changed => {}
        }
    }
}

async fn receive<Adapter>(
    gateway: &Gateway<Adapter>,
    socket: &UdpSocket,
    from: IpAddr,
    message: Result<Message, postcard::Error>,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let message = match message {
        Ok(message) => message,
        Err(e) => {
            log::debug!("control: datagram from {from} not understood: {e}");
            return;
        }
    };
    let outgoing = gateway.membership.borrow_mut().receive(now, from, message);
    send(gateway, socket, &outgoing).await;
    confirm(gateway);
}

/// Takes over how fresh the belief is by what peers that know the same have told, and wakes those
/// who fetch news.
fn confirm<Adapter>(gateway: &Gateway<Adapter>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let now = gateway.clock.now();
    let (revision, age) = {
        let catalog = gateway.catalog.borrow();
        (catalog.revision(), catalog.age(now))
    };
    let membership = gateway.membership.borrow();
    let informed = membership.newer_peer(now, revision, age).is_some();
    if let Some(age) = membership.confirmed_age(now, revision)
        && revision > 0
    {
        let source = Source::Peer(age);
        gateway.catalog.borrow_mut().apply(now, revision, Vec::new(), source);
    }
    if informed {
        drop(membership);
        gateway.changed.notify_waiters();
    }
}

/// Logs what changed among the peers, and shares out the budget anew.
fn note<Adapter>(gateway: &Gateway<Adapter>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let lines = gateway.membership.borrow_mut().take_log_lines();
    gateway.update_budget_share();
    if lines.is_empty() {
        return;
    }
    for line in &lines {
        log::info!("control: {line}");
    }
    let living = gateway.membership.borrow().alive_count();
    gateway.metrics.alive_gateways.set(i64::try_from(living).unwrap_or(i64::MAX));
    gateway.changed.notify_waiters();
}

async fn send<Adapter>(gateway: &Gateway<Adapter>, socket: &UdpSocket, outgoing: &[Outgoing])
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let port = gateway.settings().listen.heartbeats.port();
    for Outgoing { to, message } in outgoing {
        let bytes = match postcard::to_allocvec(message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("control: heartbeat cannot be encoded: {e}");
                continue;
            }
        };
        if let Err(e) = socket.send_to(&bytes, SocketAddr::new(*to, port)).await {
            log::debug!("control: heartbeat to {to} not sent: {e}");
        }
    }
}

/// Keeps a connection to the first gateway of the failure domain, whose end shows at once when
/// that process ends.
pub(super) async fn watch<Adapter>(gateway: Rc<Gateway<Adapter>>)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    loop {
        let watched = gateway.membership.borrow().watched_peer();
        let Some((host, ip)) = watched else {
            sleep(PAUSE).await;
            continue;
        };
        let port = gateway.settings().listen.news.port();
        let mut link = Client::new(SocketAddr::new(ip, port));
        let ended = tokio::select! {
            result = link.get(LIFE_PATH, LIFE) => result,
            () = other_first(&gateway, &host) => continue,
        };
        // Only the end of a connection proves something; a lost packet does not.
        if matches!(ended, Err(ClientError::Broken)) {
            let now = gateway.clock.now();
            gateway.membership.borrow_mut().connection_lost(now, &host);
            gateway.changed.notify_waiters();
        }
        sleep(PAUSE).await;
    }
}

async fn other_first<Adapter>(gateway: &Gateway<Adapter>, host: &str) {
    loop {
        sleep(PAUSE * 4).await;
        let watched = gateway.membership.borrow().watched_peer();
        if watched.is_none_or(|(first, _)| &*first != host) {
            return;
        }
    }
}
