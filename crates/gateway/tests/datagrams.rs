//! Datagrams of other gateways that are long or cannot be read.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use azuretally_gateway::{
    control::{self, ControlServers, HeartbeatSocket, codec::encode_message},
    gateway::Gateway,
    native::NativeAdapter,
};
use azuretally_policy::balance::{
    Build, GatewayLoad, Heartbeat, HeartbeatExtension, MESSAGE_GENERATION, Message, Phase,
    ReadState,
};
use raw::run_local;
use std::{
    net::{IpAddr, SocketAddr},
    process,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Timeout for each expected event.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between the datagrams, and between checks what has become of them.
const INTERVAL: Duration = Duration::from_millis(20);
/// Failure domains of a fleet, and the length of their names in bytes.
const DOMAINS: u8 = 20;
const NAME_LENGTH: usize = 120;

/// Returns the heartbeat of a primary that knows those of all other failure domains.
fn long_heartbeat(ip: IpAddr, sequence: u64) -> Message {
    let primary = |number: u8| {
        let domain = Arc::from(format!("{number:0>NAME_LENGTH$}"));
        (domain, SocketAddr::from(([10, 0, number, 1], 8_080)))
    };
    Message::Heartbeat(Heartbeat {
        host: Arc::from("gateway-2"),
        domain: Arc::from("a"),
        incarnation: 1,
        sequence,
        call_address: SocketAddr::new(ip, 80),
        capacity: 200,
        phase: Phase::Ready,
        settled: true,
        revision: 0,
        age_ms: None,
        reader: true,
        remote_primaries: (1..DOMAINS).map(primary).collect(),
        extension: HeartbeatExtension::default(),
        build: Build { generation: MESSAGE_GENERATION, version: Arc::from("") },
        reads: ReadState::default(),
        load: GatewayLoad::default(),
    })
}

/// Guards against primaries that are dead to their failure domain, since their heartbeats are longer than
/// what is received, and against datagrams that are dropped unseen.
#[tokio::test]
async fn long_heartbeats_are_read_and_unreadable_datagrams_counted() {
    run_local(async {
        let [.., high, low] = process::id().to_be_bytes();
        let ip = |number: u8| IpAddr::from([127, 176 | number, high, low]);
        let mut settings = stub::settings();
        settings.listen.directions = SocketAddr::new(ip(0), 9_001);
        settings.listen.readiness = SocketAddr::new(ip(0), 9_002);
        settings.listen.news = SocketAddr::new(ip(0), 9_003);
        settings.listen.heartbeats = SocketAddr::new(ip(0), 9_004);
        let (probes, _) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway::new(NativeAdapter, settings.clone(), probes));
        let heartbeats =
            HeartbeatSocket::bind(settings.listen.heartbeats).await.expect("the port is free");
        let servers = ControlServers::bind(&settings.listen).await.expect("the ports are free");
        let control = spawn_local(control::run(Rc::clone(&gateway), heartbeats, servers));
        let peer = UdpSocket::bind((ip(1), 9_004)).await.expect("a free port");
        let counted = "azuretally_unreadable_messages_total{";
        let is_counted = || gateway.metrics_text().lines().any(|line| line.starts_with(counted));
        let mut sequence = 0;
        let heard = async {
            while gateway.membership.borrow().alive_count() < 2 || !is_counted() {
                sequence += 1;
                let bytes = encode_message(&long_heartbeat(ip(1), sequence)).expect("encoded");
                for datagram in [bytes.as_slice(), b"\xff\xff"] {
                    peer.send_to(datagram, settings.listen.heartbeats).await.expect("sent");
                }
                sleep(INTERVAL).await;
            }
        };
        let in_time = timeout(TIMEOUT, heard).await.is_ok();
        let alive = gateway.membership.borrow().alive_count();
        assert!(in_time, "alive={alive} counted={}", is_counted());
        gateway.shutdown.cancel();
        control.await.expect("no panic");
    })
    .await;
}
