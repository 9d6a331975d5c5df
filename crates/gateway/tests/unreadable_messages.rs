//! Messages of other gateways, or of strangers, that cannot be read.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use azuretally_gateway::{
    control::{
        self, ControlServers, HeartbeatSocket,
        codec::{SyncAnswer, encode_message},
    },
    gateway::Gateway,
    native::NativeAdapter,
};
use azuretally_policy::balance::{
    Build, CallDigest, CallNotice, CatalogUpdate, Change, EvacuationNotice, GatewayLoad, Heartbeat,
    HeartbeatExtension, LimitNotice, Message, Phase, ProcessId, ReadState, RequestRate, Revision,
    Snapshot, Source, TrialNotice,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use raw::{TIMEOUT, accept, published, run_local};
use std::{
    net::{IpAddr, SocketAddr},
    process,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::spawn_local,
    time::{sleep, timeout},
};

const UPDATE_PORT: u16 = 9_003;
const HEARTBEAT_PORT: u16 = 9_004;
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Messages that are damaged at random, and how many of them are sent at a time.
const DAMAGED_MESSAGES: u32 = 4_000;
const DAMAGED_BURST: u32 = 16;
/// Seed of the damage.
const SEED: u64 = 1;

fn ip(test: u8, number: u8) -> IpAddr {
    let [.., high, low] = process::id().to_be_bytes();
    IpAddr::from([127, 224 | (test << 2) | number, high, low])
}

/// Starts the control plane of a gateway that cannot read the platform.
async fn start_control(own: IpAddr) -> Rc<Gateway<NativeAdapter>> {
    let mut settings = stub::settings();
    settings.listen.directions = SocketAddr::new(own, 9_001);
    settings.listen.readiness = SocketAddr::new(own, 9_002);
    settings.listen.news = SocketAddr::new(own, UPDATE_PORT);
    settings.listen.heartbeats = SocketAddr::new(own, HEARTBEAT_PORT);
    let (probes, _) = mpsc::unbounded_channel();
    let gateway = Rc::new(Gateway::new(NativeAdapter, settings.clone(), probes));
    let heartbeats =
        HeartbeatSocket::bind(settings.listen.heartbeats).await.expect("the port is free");
    let servers = ControlServers::bind(&settings.listen).await.expect("the ports are free");
    spawn_local(control::run(Rc::clone(&gateway), heartbeats, servers));
    gateway
}

fn heartbeat(ip: IpAddr, sequence: u64) -> Heartbeat {
    Heartbeat {
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
        reader: false,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension { era: 2, settings: 0 },
        build: Build { generation: 9, version: Arc::from("0.9.0") },
        reads: ReadState::default(),
        load: GatewayLoad::default(),
    }
}

async fn until<Condition>(condition: Condition)
where
    Condition: Fn() -> bool,
{
    let poll = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, poll).await.expect("the condition holds in time");
}

/// Returns the count of unreadable messages in the metrics, 0 if there is none.
fn count(gateway: &Gateway<NativeAdapter>, message: &str, sender: &str) -> u64 {
    let name = "azuretally_unreadable_messages_total";
    let labels = format!("{name}{{message=\"{message}\",sender=\"{sender}\"}} ");
    let text = gateway.metrics_text();
    let value = text.lines().find_map(|line| line.strip_prefix(&labels));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Guards against messages that are dropped unseen, as when builds do not understand each other, and against
/// a gateway that hears nothing more after one.
#[tokio::test]
async fn unreadable_datagrams_are_counted_by_kind_and_sender() {
    run_local(async {
        let (own, peer) = (ip(0, 0), ip(0, 1));
        let gateway = start_control(own).await;
        let socket = UdpSocket::bind((peer, HEARTBEAT_PORT)).await.expect("a free port");
        let stranger = UdpSocket::bind((ip(0, 2), HEARTBEAT_PORT)).await.expect("a free port");
        let to = SocketAddr::new(own, HEARTBEAT_PORT);
        let alive = encode_message(&Message::Heartbeat(heartbeat(peer, 1))).expect("encoded");
        socket.send_to(&alive, to).await.expect("sent");
        until(|| gateway.membership.borrow().build_at(peer).is_some()).await;
        let damaged: [(&str, &[u8]); 6] = [
            ("heartbeat", &alive[..20]),
            ("join", &[1, 200]),
            ("peers", &[2, 3, 0]),
            ("limits", &[3, 1, 255]),
            ("calls", &[4, 1]),
            ("unknown", &[5, 1, 2, 3]),
        ];
        for (_, bytes) in damaged {
            socket.send_to(bytes, to).await.expect("sent");
            stranger.send_to(bytes, to).await.expect("sent");
        }
        stranger.send_to(&[], to).await.expect("sent");
        for (kind, _) in damaged {
            let of_strangers = if kind == "unknown" { 2 } else { 1 };
            until(|| count(&gateway, kind, "gateway-2") == 1).await;
            until(|| count(&gateway, kind, "other") == of_strangers).await;
        }
        let further = ip(0, 3);
        let heartbeat = Heartbeat { host: Arc::from("gateway-3"), ..heartbeat(further, 1) };
        let bytes = encode_message(&Message::Heartbeat(heartbeat)).expect("encoded");
        socket.send_to(&bytes, to).await.expect("sent");
        until(|| gateway.membership.borrow().build_at(further).is_some()).await;
    })
    .await;
}

/// The same for updates.
#[tokio::test]
async fn unreadable_updates_are_counted_by_sender() {
    run_local(async {
        let (own, peer) = (ip(1, 0), ip(1, 1));
        let listener = TcpListener::bind((peer, UPDATE_PORT)).await.expect("a free port");
        let gateway = start_control(own).await;
        let announced = Heartbeat { revision: 5, age_ms: Some(0), ..heartbeat(peer, 1) };
        let now = gateway.clock.now();
        gateway.membership.borrow_mut().receive(now, peer, Message::Heartbeat(announced));
        gateway.changed.notify_waiters();
        loop {
            let (request, mut stream) = accept(&listener).await;
            // The other request watches the process.
            if request.starts_with("GET /news") {
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n\x7f\xff\xff";
                stream.write_all(response).await.expect("response sent");
                break;
            }
        }
        until(|| count(&gateway, "update", "gateway-2") == 1).await;
    })
    .await;
}

/// Returns messages and updates of all kinds, some with the greatest values that they can hold.
fn originals(peer: IpAddr) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
    let greatest = Heartbeat {
        capacity: u32::MAX,
        settled: false,
        revision: u64::MAX,
        age_ms: Some(u32::MAX),
        incarnation: u64::MAX,
        extension: HeartbeatExtension { era: u64::MAX, settings: u64::MAX },
        ..heartbeat(peer, u64::MAX - 1)
    };
    let small = Heartbeat { host: Arc::from("gateway-3"), capacity: 1, ..heartbeat(peer, 1) };
    let limit = |version| LimitNotice {
        target: stub::target(1, 1).name,
        started: Some(1),
        version,
        rate: RequestRate::from_per_second(2.0),
    };
    let call = |epoch| CallNotice {
        digest: CallDigest::default(),
        epoch,
        crashes: (0..3).map(|n| (ProcessId::from_number(n), false)).collect(),
        left_s: u32::MAX,
        trials: TrialNotice {
            claims: epoch,
            claim: u64::MAX,
            sent: epoch,
            survived: epoch,
            age_ms: u32::MAX,
        },
    };
    let messages = [
        Message::Heartbeat(heartbeat(peer, 2)),
        Message::Heartbeat(greatest.clone()),
        Message::Heartbeat(small.clone()),
        Message::Join(small),
        Message::Join(greatest),
        Message::Peers(vec![peer]),
        Message::Limits(vec![limit(1), limit(u64::MAX)]),
        Message::Calls(vec![call(1), call(u32::MAX)]),
    ];
    let messages = messages.iter().map(|message| encode_message(message).expect("encoded"));
    let mut target = stub::target(1, u32::MAX);
    target.warmup = Duration::MAX;
    let changes = vec![Change::Target(target), Change::Target(stub::target(2, u32::MAX))];
    let updates = [
        CatalogUpdate::Full(Snapshot {
            revision: 5,
            published: Some(published()),
            targets: vec![stub::target(1, 1)],
        }),
        CatalogUpdate::Changes { revision: 6, changes },
    ];
    let updates = updates.into_iter().map(|update| {
        let revision = Revision::new(1, 5);
        let evacuations = Some(EvacuationNotice {
            changed: revision,
            complete: revision,
            domains: vec![Arc::from("a")],
            ..EvacuationNotice::default()
        });
        let answer =
            SyncAnswer { age: Some(Duration::MAX), era: 1, update, evacuations, cold_rates: None };
        answer.encode().expect("encoded")
    });
    (messages.collect(), updates.collect())
}

/// Changes, adds or removes bytes.
fn damage(rng: &mut Pcg64Mcg, bytes: &mut Vec<u8>) {
    for _ in 0..rng.random_range(0..4) {
        let position = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[position] = rng.random(),
            1 => bytes[position] ^= 1 << rng.random_range(0..8),
            2 => bytes.insert(position, rng.random()),
            _ => bytes.truncate(position.max(1)),
        }
    }
}

/// Guards against bytes that end a gateway, or make it deaf.
#[tokio::test]
async fn damaged_messages_stop_no_gateway() {
    run_local(async {
        let (own, peer) = (ip(2, 0), ip(2, 1));
        let gateway = start_control(own).await;
        let socket = UdpSocket::bind((peer, HEARTBEAT_PORT)).await.expect("a free port");
        let to = SocketAddr::new(own, HEARTBEAT_PORT);
        let mut rng = Pcg64Mcg::seed_from_u64(SEED);
        let (messages, updates) = originals(peer);
        for number in 0..DAMAGED_MESSAGES {
            let mut bytes = messages[rng.random_range(0..messages.len())].clone();
            damage(&mut rng, &mut bytes);
            socket.send_to(&bytes, to).await.expect("sent");
            let mut bytes = updates[rng.random_range(0..updates.len())].clone();
            damage(&mut rng, &mut bytes);
            let answer = SyncAnswer::decode(&bytes);
            if let Ok(SyncAnswer { age: Some(age), era, update, evacuations, cold_rates }) = answer
            {
                let now = gateway.clock.now();
                let source = Source::Peer(age);
                let mut catalog = gateway.catalog.borrow_mut();
                catalog.apply_update(now, era, update, source);
                if let Some(notice) = &evacuations {
                    catalog.apply_evacuations(era, notice);
                }
                if let Some(rates) = &cold_rates {
                    catalog.apply_cold_rates(rates);
                }
                drop(catalog);
                gateway.apply_catalog(source);
            }
            if number % DAMAGED_BURST == 0 {
                sleep(Duration::from_millis(1)).await;
            }
        }
        let last = ip(2, 2);
        let heartbeat = Heartbeat { host: Arc::from("last"), ..heartbeat(last, 1) };
        let bytes = encode_message(&Message::Heartbeat(heartbeat)).expect("encoded");
        // Datagrams behind too many others are lost.
        let heard = async {
            while gateway.membership.borrow().build_at(last).is_none() {
                socket.send_to(&bytes, to).await.expect("sent");
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TIMEOUT, heard).await.expect("the gateway hears heartbeats");
    })
    .await;
}
