//! Messages that earlier builds have sent, and what these read in the present ones.
//!
//! `fixtures/messages-COMMIT.txt` holds bytes that the build of that commit wrote, in hexadecimal digits.
#![allow(clippy::expect_used)]

mod raw;
mod stub;

use azuretally_gateway::control::codec::{SyncAnswer, SyncQuery, decode_message, encode_message};
use azuretally_policy::{
    Timestamp,
    balance::{
        Build, CallDigest, CallNotice, CatalogUpdate, Change, DigestParts, EvacuationNotice,
        GatewayLoad, Heartbeat, HeartbeatExtension, LimitNotice, LimitShare, MembershipBuilder,
        Message, Phase, ProcessId, ReadState, RequestRate, Revision, Snapshot, TrialNotice,
    },
};
use indexmap::IndexMap;
use raw::{Node, accept, listen, published, read_until, run_local};
use std::{
    net::{IpAddr, Ipv6Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// A build with messages that it wrote.
struct Recording {
    text: &'static str,
    /// Whether it knows eras and calls that crash targets.
    knows_eras: bool,
}

const RECORDINGS: [Recording; 2] = [
    Recording { text: include_str!("fixtures/messages-2535e0f.txt"), knows_eras: false },
    Recording { text: include_str!("fixtures/messages-c347828.txt"), knows_eras: true },
];

impl Recording {
    fn messages(&self) -> IndexMap<&'static str, Vec<u8>> {
        let lines = self.text.lines().filter(|line| !line.starts_with('#'));
        let parsed = lines.filter_map(|line| line.split_once(' '));
        parsed.map(|(name, digits)| (name, bytes(digits))).collect()
    }

    fn message(&self, name: &str) -> Vec<u8> {
        self.messages().get(name).expect("recorded").clone()
    }

    fn text(&self, name: &str) -> String {
        String::from_utf8(self.message(name)).expect("text")
    }

    /// Returns the messages of the present build with what the earlier one knows.
    fn expected(&self) -> Vec<(&'static str, Message)> {
        let mut expected = messages();
        if !self.knows_eras {
            expected.retain(|(name, _)| *name != "calls");
        }
        for (_, message) in &mut expected {
            if let Message::Calls(notices) = message {
                for notice in notices {
                    notice.trials = TrialNotice::default();
                }
            }
            if let Message::Heartbeat(heartbeat) | Message::Join(heartbeat) = message {
                heartbeat.build = Build::default();
                heartbeat.reads = ReadState::default();
                heartbeat.load = GatewayLoad::default();
                if !self.knows_eras {
                    heartbeat.extension = HeartbeatExtension::default();
                }
            }
        }
        expected
    }

    fn era(&self) -> u64 {
        if self.knows_eras { 2 } else { 0 }
    }
}

fn bytes(digits: &str) -> Vec<u8> {
    let byte = |i| u8::from_str_radix(&digits[i..i + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        host: Arc::from("gateway-1"),
        domain: Arc::from("a"),
        incarnation: 1_700_000_000_000,
        sequence: 9,
        call_address: SocketAddr::from(([10, 0, 0, 1], 80)),
        capacity: 200,
        phase: Phase::Ready,
        settled: true,
        revision: 90,
        age_ms: Some(12),
        reader: true,
        remote_primaries: vec![(Arc::from("b"), SocketAddr::from(([10, 0, 0, 2], 80)))],
        extension: HeartbeatExtension { era: 2, settings: 7 },
        build: Build { generation: 3, version: Arc::from("0.1.0") },
        reads: ReadState { failing: true },
        load: GatewayLoad { used: 5, interval_ms: 400 },
    }
}

fn starting() -> Heartbeat {
    Heartbeat {
        phase: Phase::Starting,
        settled: false,
        revision: 0,
        age_ms: None,
        reader: false,
        remote_primaries: Vec::new(),
        extension: HeartbeatExtension::default(),
        ..heartbeat()
    }
}

fn limits() -> Vec<LimitNotice> {
    let notice = |target: &str, started, version, rate| LimitNotice {
        target: Arc::from(target),
        started,
        version,
        rate,
    };
    vec![
        notice("target-1", Some(1_700_000_000_500), 3, RequestRate::from_per_second(2.5)),
        notice("target-2", None, 4, None),
    ]
}

fn calls() -> Vec<CallNotice> {
    let digest = CallDigest::new(&DigestParts {
        method: "GET",
        host: "test",
        path: "/check/1",
        body_length: Some(0),
        ..DigestParts::default()
    });
    let crash = |started, withdrawn| (ProcessId::new("target-1", started), withdrawn);
    let crashes = [crash(Some(1), false), crash(Some(2), true), crash(None, false)];
    let crashes = crashes.into_iter().collect();
    let trials = TrialNotice { claims: 3, claim: 5, sent: 1, survived: 1, age_ms: 40 };
    vec![CallNotice { digest, epoch: 2, crashes, left_s: 86_000, trials }]
}

/// Returns a message of each kind and phase, by its name in the recordings.
fn messages() -> Vec<(&'static str, Message)> {
    let with_phase = |phase| Message::Heartbeat(Heartbeat { phase, ..heartbeat() });
    let peers = vec![IpAddr::from([10, 0, 0, 3]), Ipv6Addr::LOCALHOST.into()];
    vec![
        ("heartbeat", with_phase(Phase::Ready)),
        ("join", Message::Join(starting())),
        ("leaving", with_phase(Phase::Leaving)),
        ("detached", with_phase(Phase::Detached)),
        ("peers", Message::Peers(peers)),
        ("limits", Message::Limits(limits())),
        ("calls", Message::Calls(calls())),
    ]
}

/// Returns an update of each kind, by its name in the recordings.
fn updates() -> [(&'static str, CatalogUpdate); 2] {
    let target = stub::target(3, 4);
    let full =
        Snapshot { revision: 90, published: Some(published()), targets: vec![target.clone()] };
    let gone = Change::Gone(Arc::from("target-4"));
    let changes = vec![Change::Published(published()), Change::Target(target), gone];
    [
        ("update-full", CatalogUpdate::Full(full)),
        ("update-changes", CatalogUpdate::Changes { revision: 91, changes }),
    ]
}

fn evacuations() -> EvacuationNotice {
    let revision = Revision::new(2, 80);
    EvacuationNotice {
        changed: revision,
        complete: revision,
        domains: vec![Arc::from("a")],
        ..EvacuationNotice::default()
    }
}

/// Guards against a change of the messages by which a gateway no longer reads those of an earlier build.
#[test]
fn messages_of_earlier_builds_are_read() {
    for recording in RECORDINGS {
        for (name, message) in recording.expected() {
            assert_eq!(decode_message(&recording.message(name)), Ok(message), "{name}");
        }
        for (name, update) in updates() {
            let answer = SyncAnswer::decode(&recording.message(name)).expect("an update");
            let age = Some(Duration::from_millis(20));
            let era = recording.era();
            let expected = SyncAnswer { age, era, update, evacuations: None, cold_rates: None };
            assert_eq!(answer, expected, "{name}");
        }
    }
}

/// Guards against a change by which gateways of an earlier build no longer read the messages of this one:
/// they read a message from its beginning and ignore what follows.
#[test]
fn messages_begin_as_those_of_earlier_builds() {
    for recording in RECORDINGS {
        let recorded = recording.messages();
        for (name, message) in messages() {
            let Some(earlier) = recorded.get(name) else { continue };
            let present = encode_message(&message).expect("encoded");
            assert!(present.starts_with(earlier), "{name}: {present:x?}, {earlier:x?}");
        }
        for (name, update) in updates() {
            let age = Some(Duration::from_millis(20));
            let answer = SyncAnswer {
                age,
                era: 2,
                update,
                evacuations: Some(evacuations()),
                cold_rates: None,
            };
            let present = answer.encode().expect("encoded");
            assert!(present.starts_with(&recorded[name]), "{name}: {present:x?}");
        }
    }
}

/// Guards against updates that lack changes since the gateway of an earlier build cannot say what it has.
#[test]
fn queries_of_earlier_builds_are_read() {
    let expected = [
        SyncQuery { revision: Revision::new(0, 90), settings: None },
        SyncQuery { revision: Revision::new(2, 90), settings: Some(7) },
    ];
    for (recording, expected) in RECORDINGS.iter().zip(expected) {
        let request = recording.text("query");
        let target = request.strip_prefix("GET /news?").and_then(|rest| rest.split_once(' '));
        let query = SyncQuery::parse(target.expect("a query").0);
        // What a gateway has is at least what its heartbeats name.
        assert_eq!(query, expected, "{request}");
    }
}

/// Guards against a relay between builds that is not taken for one: the call would count twice for the
/// budget of retries, and could be relayed to and fro.
#[tokio::test]
async fn calls_relayed_by_earlier_builds_are_answered_as_relayed_ones() {
    run_local(async {
        for recording in RECORDINGS {
            let (target, address) = listen().await;
            let node = Node::start(&[address]).await;
            let mut peer = TcpStream::connect(node.calls).await.expect("the gateway listens");
            let request = recording.message("relay-request");
            peer.write_all(&request).await.expect("request sent");
            let (received, mut stream) = accept(&target).await;
            assert!(received.starts_with("GET /sale/1 "), "{received}");
            assert!(!received.contains("x-azuretally-relayed"), "{received}");
            let response =
                "HTTP/1.1 200 OK\r\nx-azuretally-call: a\r\ncontent-length: 4\r\n\r\ndone";
            stream.write_all(response.as_bytes()).await.expect("response sent");
            let response = read_until(&mut peer, "done").await;
            // Earlier builds read the version of the settings from it.
            assert!(response.contains("x-azuretally-relayed: 1\r\n"), "{response}");
            assert!(response.contains("x-azuretally-outcome: answered"), "{response}");
        }
    })
    .await;
}

/// Guards against an answer of an earlier build that counts as lost, so that its call fails.
#[tokio::test]
async fn relayed_answers_of_earlier_builds_reach_the_caller() {
    run_local(async {
        for recording in RECORDINGS {
            let (peer, address) = listen().await;
            let node = Node::start(&[]).await;
            let heartbeat = Heartbeat { call_address: address, host: "peer".into(), ..heartbeat() };
            let now = node.gateway.clock.now();
            let message = Message::Heartbeat(heartbeat);
            node.gateway.membership.borrow_mut().receive(now, address.ip(), message);
            for _ in 0..2 {
                node.gateway.reach_checked(4, 0);
            }
            let mut caller = node.call("/sale/1").await;
            let (request, mut stream) = accept(&peer).await;
            let relayed = "x-azuretally-relayed: 2,1,127.0.0.1\r\n";
            assert!(request.contains(relayed), "{request}");
            assert!(recording.text("relay-request").contains(relayed));
            let response = recording.message("relay-response");
            stream.write_all(&response).await.expect("response sent");
            let response = read_until(&mut caller, "done").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert!(!response.contains("x-azuretally-relayed"), "{response}");
        }
    })
    .await;
}

/// Guards against two gateways of different builds that both send requests to a limited target, or none: each
/// decides by itself whose part it is.
#[test]
fn choices_without_coordination_are_those_of_earlier_builds() {
    let now = Timestamp::default();
    let gateway = |number: u8| Heartbeat {
        host: Arc::from(format!("gateway-{number}")),
        call_address: SocketAddr::from(([10, 0, 0, number], 80)),
        remote_primaries: Vec::new(),
        ..heartbeat()
    };
    let mut owners = Vec::new();
    let mut directions = Vec::new();
    for number in 1..=4 {
        let mut member = MembershipBuilder::new(gateway(number)).gateways_per_domain(4).build(now);
        for other in (1..=4).filter(|other| *other != number) {
            let ip = IpAddr::from([10, 0, 0, other]);
            member.receive(now, ip, Message::Heartbeat(gateway(other)));
        }
        let assignment = member.limit_assignment();
        for target in (1..=12).map(|number| format!("target-{number}")) {
            if assignment.share("a", &target) == LimitShare::Full {
                owners.push(format!("{target}:gateway-{number}"));
            }
        }
        directions = member.directions("a").addresses.iter().map(ToString::to_string).collect();
    }
    assert_eq!(owners.len(), 12, "{owners:?}");
    for recording in RECORDINGS {
        assert_eq!(owners.join(" "), recording.text("limited-targets"));
        assert_eq!(directions.join(" "), recording.text("directions"));
    }
}
