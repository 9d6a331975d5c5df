//! Gateways whose reads of the platform fail, and those that read in their place.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use azuretally_gateway::{
    control::{
        self, ControlServers, HeartbeatSocket,
        codec::{decode_message, encode_message},
    },
    gateway::Gateway,
    native::NativeAdapter,
};
use azuretally_policy::balance::{
    Build, GatewayLoad, Heartbeat, HeartbeatExtension, MESSAGE_GENERATION, Message, Phase,
    ReadState, Snapshot, Source,
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
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

/// Timeout for each expected event.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between heartbeats of the peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Revision of the data of the gateway and its peer.
const REVISION: u64 = 5;
/// Ports of the platform, and of the gateway and its peer.
const PLATFORM_PORT: u16 = 9_000;
const DIRECTIONS_PORT: u16 = 9_001;
const READINESS_PORT: u16 = 9_002;
const UPDATE_PORT: u16 = 9_003;
const HEARTBEAT_PORT: u16 = 9_004;

fn host_ip(test: u8, number: u8) -> IpAddr {
    let [.., high, low] = process::id().to_be_bytes();
    IpAddr::from([127, 160 | (test << 2) | number, high, low])
}

fn heartbeat(ip: IpAddr, sequence: u64, reads: ReadState) -> Message {
    Message::Heartbeat(Heartbeat {
        host: Arc::from("gateway-2"),
        domain: Arc::from("a"),
        incarnation: 1,
        sequence,
        call_address: SocketAddr::new(ip, 80),
        capacity: 200,
        phase: Phase::Ready,
        settled: true,
        revision: REVISION,
        age_ms: Some(0),
        reader: true,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension::default(),
        build: Build { generation: MESSAGE_GENERATION, version: Arc::from("") },
        reads,
        load: GatewayLoad::default(),
    })
}

/// A gateway with one peer that ranks before it.
struct Fixture {
    gateway: Rc<Gateway<NativeAdapter>>,
    control: JoinHandle<()>,
    peer: UdpSocket,
    sequence: u64,
}

impl Fixture {
    async fn start(test: u8, platform: SocketAddr) -> Self {
        let own = host_ip(test, 0);
        let mut settings = stub::settings();
        settings.platform = platform;
        settings.listen.directions = SocketAddr::new(own, DIRECTIONS_PORT);
        settings.listen.readiness = SocketAddr::new(own, READINESS_PORT);
        settings.listen.news = SocketAddr::new(own, UPDATE_PORT);
        settings.listen.heartbeats = SocketAddr::new(own, HEARTBEAT_PORT);
        let (probes, _) = mpsc::unbounded_channel();
        let gateway = Rc::new(Gateway::new(NativeAdapter, settings.clone(), probes));
        let peer = UdpSocket::bind((host_ip(test, 1), HEARTBEAT_PORT)).await.expect("a free port");
        let heartbeats =
            HeartbeatSocket::bind(settings.listen.heartbeats).await.expect("the port is free");
        let servers = ControlServers::bind(&settings.listen).await.expect("the ports are free");
        let now = gateway.clock.now();
        let data = Snapshot { revision: REVISION, ..Snapshot::default() };
        let source = Source::Peer(Duration::ZERO);
        gateway.catalog.borrow_mut().apply_snapshot(now, 0, data, source);
        let first = heartbeat(host_ip(test, 1), 1, ReadState::default());
        gateway.membership.borrow_mut().receive(now, host_ip(test, 1), first);
        let control = spawn_local(control::run(Rc::clone(&gateway), heartbeats, servers));
        Self { gateway, control, peer, sequence: 1 }
    }

    /// Sends a heartbeat of the peer, which confirms the data of the gateway.
    async fn send_heartbeat(&mut self, reads: ReadState) {
        self.sequence += 1;
        let ip = self.peer.local_addr().expect("bound").ip();
        let bytes = encode_message(&heartbeat(ip, self.sequence, reads)).expect("encoded");
        let to = self.gateway.settings().listen.heartbeats;
        self.peer.send_to(&bytes, to).await.expect("sent");
    }

    /// Receives heartbeats until one says that the reads of the gateway fail.
    async fn says_that_reads_fail(&mut self) -> bool {
        let heard = async {
            let mut buffer = vec![0; 2_048];
            loop {
                let (bytes, _) = self.peer.recv_from(&mut buffer).await.expect("a datagram");
                let message = decode_message(&buffer[..bytes]).expect("decoded");
                if let Message::Heartbeat(heartbeat) = message
                    && heartbeat.reads.failing
                {
                    return;
                }
            }
        };
        timeout(TIMEOUT, heard).await.is_ok()
    }

    async fn stop(self) {
        self.gateway.shutdown.cancel();
        self.control.await.expect("no panic");
    }
}

/// Guards against settings that come late to a failure domain, since a gateway that gets no answers of the
/// platform is taken for the one that reads it.
#[tokio::test]
async fn gateway_that_gets_no_answers_of_the_platform_says_so() {
    run_local(async {
        let mut fixture = Fixture::start(0, SocketAddr::from(([127, 0, 0, 1], 1))).await;
        fixture.send_heartbeat(ReadState { failing: true }).await;
        assert!(fixture.says_that_reads_fail().await);
        fixture.stop().await;
    })
    .await;
}

/// Guards against the same at the gateway that is next, whose data is young: others confirm it.
#[tokio::test]
async fn gateway_reads_in_the_place_of_one_that_gets_no_answers() {
    run_local(async {
        let address = SocketAddr::new(host_ip(1, 2), PLATFORM_PORT);
        let platform = TcpListener::bind(address).await.expect("a free port");
        let mut fixture = Fixture::start(1, address).await;
        let heartbeats = async {
            loop {
                fixture.send_heartbeat(ReadState { failing: true }).await;
                sleep(HEARTBEAT_INTERVAL).await;
            }
        };
        let reads = tokio::select! {
            accepted = timeout(TIMEOUT, platform.accept()) => accepted.is_ok(),
            () = heartbeats => false,
        };
        assert!(reads);
        fixture.stop().await;
    })
    .await;
}
