//! Updates from peers, of which some answer wrongly or not at all.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use azuretally_gateway::{
    control::{self, ControlServers, HeartbeatSocket, codec::SyncAnswer},
    gateway::Gateway,
    native::NativeAdapter,
};
use azuretally_policy::balance::{
    Build, CatalogUpdate, ColdRates, EvacuationNotice, GatewayLoad, Heartbeat, HeartbeatExtension,
    MESSAGE_GENERATION, Message, Phase, ReadState, RequestRate, Revision, Snapshot,
};
use raw::{published, read_until, run_local};
use std::{
    net::{IpAddr, SocketAddr},
    process,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpListener,
    sync::mpsc,
    task::spawn_local,
    time::{Instant, sleep},
};

/// Time for settings that a peer has to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same if no peer tells of evacuations.
const UNINFORMED_TIMEOUT: Duration = Duration::from_secs(7);
/// Interval between heartbeats of the peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Port at which peers serve updates.
const UPDATE_PORT: u16 = 9_003;

/// Answers of a peer to requests for updates.
#[derive(Clone, Debug)]
enum Answers {
    Body(Vec<u8>),
    /// The same of a peer of generation 4.
    EarlierBody(Vec<u8>),
    /// Connections are accepted by the kernel and not read.
    None,
}

/// Returns what a peer of generation 4 delivers.
fn earlier_update(revision: u64) -> Answers {
    let published = Some(published());
    let update = CatalogUpdate::Full(Snapshot { revision, published, targets: Vec::new() });
    let bytes = postcard::to_allocvec(&(Some(Duration::ZERO), update)).expect("encoded");
    Answers::EarlierBody(bytes)
}

fn update(revision: u64) -> Answers {
    let published = (revision > 0).then(published);
    let update = CatalogUpdate::Full(Snapshot { revision, published, targets: Vec::new() });
    let evacuations = Some(EvacuationNotice {
        complete: Revision::new(0, revision),
        ..EvacuationNotice::default()
    });
    let answer =
        SyncAnswer { age: Some(Duration::ZERO), era: 0, update, evacuations, cold_rates: None };
    Answers::Body(answer.encode().expect("encoded"))
}

fn peer_ip(test: u8, number: u8) -> IpAddr {
    let [.., high, low] = process::id().to_be_bytes();
    IpAddr::from([127, 192 | (test << 2) | number, high, low])
}

async fn start_peer(ip: IpAddr, answers: Answers) {
    let listener = TcpListener::bind((ip, UPDATE_PORT)).await.expect("a free port");
    spawn_local(async move {
        loop {
            let (Answers::Body(body) | Answers::EarlierBody(body)) = &answers else {
                return std::future::pending().await;
            };
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_until(&mut stream, "\r\n\r\n").await;
            let head =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
            // The gateway may have closed the connection.
            drop(stream.write_all(&[&head, body.as_slice()].concat()).await);
        }
    });
}

fn heartbeat(ip: IpAddr, generation: u32, sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        host: Arc::from(ip.to_string()),
        domain: Arc::from("a"),
        incarnation: 1,
        sequence,
        call_address: SocketAddr::new(ip, 80),
        capacity: 200,
        phase: Phase::Ready,
        settled: true,
        revision: 5,
        age_ms: Some(0),
        reader: false,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension::default(),
        build: Build { generation, version: Arc::from("") },
        reads: ReadState::default(),
        load: GatewayLoad::default(),
    })
}

/// Starts a gateway that cannot read the platform, with live peers that announce the same revision, and
/// returns whether it gets the settings within `time`.
async fn gets_settings(test: u8, peers: Vec<Answers>, time: Duration) -> bool {
    learns(test, peers, time, |gateway| gateway.routes().is_some()).await
}

/// Starts a gateway that cannot read the platform, with live peers that announce the same revision, and
/// returns whether what it knows fulfils `condition` within `time`.
async fn learns<Condition>(
    test: u8,
    peers: Vec<Answers>,
    time: Duration,
    condition: Condition,
) -> bool
where
    Condition: Fn(&Gateway<NativeAdapter>) -> bool,
{
    let own = peer_ip(test, 0);
    let mut settings = stub::settings();
    settings.listen.directions = SocketAddr::new(own, 9_001);
    settings.listen.readiness = SocketAddr::new(own, 9_002);
    settings.listen.news = SocketAddr::new(own, UPDATE_PORT);
    settings.listen.heartbeats = SocketAddr::new(own, 9_004);
    let (probes, _) = mpsc::unbounded_channel();
    let gateway = Rc::new(Gateway::new(NativeAdapter, settings.clone(), probes));
    let heartbeats =
        HeartbeatSocket::bind(settings.listen.heartbeats).await.expect("the port is free");
    let servers = ControlServers::bind(&settings.listen).await.expect("the ports are free");
    let mut ips = Vec::new();
    for (number, answers) in (1..).zip(peers) {
        let ip = peer_ip(test, number);
        let is_earlier = matches!(answers, Answers::EarlierBody(_));
        start_peer(ip, answers).await;
        ips.push((ip, if is_earlier { 4 } else { MESSAGE_GENERATION }));
    }
    let control = spawn_local(control::run(Rc::clone(&gateway), heartbeats, servers));
    let start = Instant::now();
    let mut sequence = 0;
    while !condition(&gateway) && start.elapsed() < time {
        sequence += 1;
        for (ip, generation) in &ips {
            let now = gateway.clock.now();
            let heartbeat = heartbeat(*ip, *generation, sequence);
            gateway.membership.borrow_mut().receive(now, *ip, heartbeat);
        }
        gateway.changed.notify_waiters();
        sleep(HEARTBEAT_INTERVAL).await;
    }
    gateway.shutdown.cancel();
    control.await.expect("no panic");
    condition(&gateway)
}

/// Guards against settings that come late or never while a peer has them, since another one that announces
/// the same revision is asked again and again without success.
#[tokio::test]
async fn settings_are_fetched_from_a_peer_that_delivers_them() {
    run_local(async {
        let useless = [Answers::None, Answers::Body(b"\x7f\xff\xff".to_vec()), update(0)];
        let mut test = 0;
        for useless in useless {
            for peers in [vec![update(5), useless.clone()], vec![useless.clone(), update(5)]] {
                assert!(gets_settings(test, peers, IN_FORCE_TIMEOUT).await, "{useless:?}");
                test += 1;
            }
        }
    })
    .await;
}

/// Guards against calls to an evacuated domain after a restart: what peers of generation 4 deliver says nothing
/// of evacuations. Where there is nobody else to ask, the gateway serves calls some seconds later.
#[tokio::test]
async fn settings_of_earlier_builds_wait_for_evacuations() {
    run_local(async {
        assert!(!gets_settings(6, vec![earlier_update(5)], IN_FORCE_TIMEOUT).await);
        assert!(gets_settings(7, vec![earlier_update(5)], UNINFORMED_TIMEOUT).await);
        for (test, peers) in
            [(8, vec![earlier_update(5), update(5)]), (9, vec![update(5), earlier_update(5)])]
        {
            let is_in_force = gets_settings(test, peers, IN_FORCE_TIMEOUT).await;
            assert!(is_in_force, "one tells of evacuations");
        }
    })
    .await;
}

/// Guards against cold targets that get calls at will during an upgrade: settings of a peer of an earlier build name no
/// rates, and were not asked for again.
#[tokio::test]
async fn rates_of_cold_targets_are_fetched_from_a_peer_that_knows_them() {
    run_local(async {
        let rate = RequestRate::from_per_second(3.5).expect("a rate");
        let rates = ColdRates { settings: 1, rates: vec![(Arc::from("service"), rate)] };
        let published = published();
        assert_eq!(published.version, rates.settings);
        let update = CatalogUpdate::Full(Snapshot {
            revision: 5,
            published: Some(published),
            targets: vec![stub::target(1, 2)],
        });
        let age = Some(Duration::ZERO);
        let earlier = postcard::to_allocvec(&(age, &update, 0_u64)).expect("encoded");
        let evacuations =
            Some(EvacuationNotice { complete: Revision::new(0, 5), ..EvacuationNotice::default() });
        let later = SyncAnswer { age, era: 0, update, evacuations, cold_rates: Some(rates) };
        let later = later.encode().expect("encoded");
        let time = IN_FORCE_TIMEOUT;
        let knows_rate = |gateway: &Gateway<_>| {
            let catalog = gateway.catalog.borrow();
            let published = catalog.published();
            published.and_then(|p| p.services["service"].cold_rate) == Some(rate)
                && gateway.balancer.borrow().has_cold_rates()
        };
        let earlier = Answers::EarlierBody(earlier);
        let later = Answers::Body(later);
        assert!(learns(10, vec![earlier.clone(), later.clone()], time, knows_rate).await);
        assert!(learns(11, vec![later, earlier.clone()], time, knows_rate).await);
        assert!(!learns(12, vec![earlier], time, knows_rate).await, "no peer knows it");
    })
    .await;
}
