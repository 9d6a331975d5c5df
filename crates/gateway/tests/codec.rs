//! Messages between gateways of different builds.
#![allow(clippy::expect_used)]

use azuretally_gateway::control::codec::{SyncAnswer, SyncQuery, decode_message, encode_message};
use azuretally_policy::balance::{
    Build, CatalogUpdate, ColdRates, EvacuationNotice, GatewayLoad, Heartbeat, HeartbeatExtension,
    Message, Phase, ReadState, RequestRate, Revision, Snapshot,
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Heartbeat of the builds before the extension, as c347828 sends it before its extension.
const FIRST_LAYOUT: [u8; 43] = [
    0, 9, 0x67, 0x61, 0x74, 0x65, 0x77, 0x61, 0x79, 0x2d, 0x31, 1, 0x61, 0x80, 0xd0, 0x95, 0xff,
    0xbc, 0x31, 9, 0, 10, 0, 0, 1, 0x50, 0xc8, 1, 1, 1, 0x5a, 1, 12, 1, 1, 1, 0x62, 0, 10, 0, 0, 2,
    0x50,
];
/// What c347828 sends behind it.
const EXTENSION: [u8; 2] = [2, 7];
/// What 3211a5c sends behind that.
const BUILD: [u8; 7] = [3, 5, 0x30, 0x2e, 0x31, 0x2e, 0x30];
/// What 86a20f4 sends behind that.
const READS: [u8; 1] = [1];

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

#[test]
fn extension_of_a_heartbeat_is_sent_behind_the_message() {
    for message in [Message::Heartbeat(heartbeat()), Message::Join(heartbeat())] {
        let bytes = encode_message(&message).expect("encoded");
        assert_eq!(decode_message(&bytes).expect("decoded"), message);
    }
}

/// An earlier build decodes the message alone, and sends nothing behind its own.
#[test]
fn heartbeats_are_understood_between_builds() {
    let message = Message::Heartbeat(heartbeat());
    let earlier = Message::Heartbeat(Heartbeat {
        extension: HeartbeatExtension::default(),
        build: Build::default(),
        reads: ReadState::default(),
        load: GatewayLoad::default(),
        ..heartbeat()
    });
    let bytes = encode_message(&message).expect("encoded");
    let read: Message = postcard::from_bytes(&bytes).expect("an earlier build reads it");
    assert_eq!(read, earlier);
    let bytes = postcard::to_allocvec(&earlier).expect("encoded");
    assert_eq!(decode_message(&bytes).expect("decoded"), earlier);
}

/// Bytes that earlier builds have sent.
#[test]
fn recorded_heartbeats_of_earlier_builds_are_read() {
    let with_extension = [&FIRST_LAYOUT[..], &EXTENSION].concat();
    let with_build = [&with_extension[..], &BUILD].concat();
    let with_reads = [&with_build[..], &READS].concat();
    let without_load = Heartbeat { load: GatewayLoad::default(), ..heartbeat() };
    let without_reads = Heartbeat { reads: ReadState::default(), ..without_load.clone() };
    let without_build = Heartbeat { build: Build::default(), ..without_reads.clone() };
    let first = Heartbeat { extension: HeartbeatExtension::default(), ..without_build.clone() };
    let read = |bytes: &[u8]| decode_message(bytes).expect("decoded");
    assert_eq!(read(&FIRST_LAYOUT), Message::Heartbeat(first));
    assert_eq!(read(&with_extension), Message::Heartbeat(without_build.clone()));
    assert_eq!(read(&with_build), Message::Heartbeat(without_reads));
    assert_eq!(read(&with_reads), Message::Heartbeat(without_load));
    let join = [&[1], &with_extension[1..]].concat();
    assert_eq!(read(&join), Message::Join(without_build));
}

/// The build with the extension reads the message and the extension, and ignores what follows.
#[test]
fn heartbeats_begin_as_those_of_earlier_builds() {
    let bytes = encode_message(&Message::Heartbeat(heartbeat())).expect("encoded");
    let earlier = [&FIRST_LAYOUT[..], &EXTENSION, &BUILD, &READS].concat();
    assert!(bytes.starts_with(&earlier), "{bytes:x?}");
    let (_, rest) = postcard::take_from_bytes::<Message>(&bytes).expect("the message");
    let extension: HeartbeatExtension = postcard::from_bytes(rest).expect("the extension");
    assert_eq!(extension, heartbeat().extension);
}

/// A datagram is whole where an earlier layout ends, too.
#[test]
fn damaged_datagrams_are_errors() {
    let message = Message::Heartbeat(heartbeat());
    let complete = encode_message(&message).expect("encoded");
    let extended = FIRST_LAYOUT.len() + EXTENSION.len();
    let built = extended + BUILD.len();
    let ends = [FIRST_LAYOUT.len(), extended, built, built + READS.len()];
    for length in 0..complete.len() {
        let read = decode_message(&complete[..length]);
        assert_eq!(read.is_ok(), ends.contains(&length), "{length} bytes");
    }
}

#[test]
fn other_messages_have_no_extension() {
    let message = Message::Peers(vec![IpAddr::from([10, 0, 0, 1])]);
    let bytes = encode_message(&message).expect("encoded");
    assert_eq!(bytes, postcard::to_allocvec(&message).expect("encoded"));
    assert_eq!(decode_message(&bytes).expect("decoded"), message);
}

#[test]
fn queries_are_read_as_they_were_written() {
    let written = [
        (Revision::new(0, 5), Some(3), "after=5"),
        (Revision::new(2, 5), Some(3), "after=5&era=2&settings=3"),
        (Revision::new(2, 5), None, "after=5&era=2"),
    ];
    for (revision, settings, text) in written {
        let query = SyncQuery { revision, settings };
        assert_eq!(query.to_string(), text);
        let settings = settings.filter(|_| revision.era != 0);
        assert_eq!(SyncQuery::parse(text), SyncQuery { revision, settings });
    }
    let nothing = SyncQuery { revision: Revision::default(), settings: None };
    for text in ["", "after", "after=", "after=-1", "after=x&era=y&settings=z", "era=", "&&=&"] {
        assert_eq!(SyncQuery::parse(text), nothing, "{text}");
    }
}

#[test]
fn answers_are_understood_between_builds() {
    let update = CatalogUpdate::Full(Snapshot { revision: 5, ..Snapshot::default() });
    let age = Some(Duration::from_millis(20));
    let revision = Revision::new(2, 5);
    let evacuations = Some(EvacuationNotice {
        changed: revision,
        complete: revision,
        from_copy: true,
        written: vec![Arc::from("a")],
        kept: vec![Arc::from("b")],
        domains: vec![Arc::from("a"), Arc::from("b/c")],
    });
    let answer = SyncAnswer { age, era: 2, update: update.clone(), evacuations, cold_rates: None };
    let bytes = answer.encode().expect("encoded");
    assert_eq!(SyncAnswer::decode(&bytes).expect("decoded"), answer);
    let read: (Option<Duration>, CatalogUpdate) =
        postcard::from_bytes(&bytes).expect("an earlier build reads it");
    assert_eq!(read, (age, update.clone()));
    let bytes = postcard::to_allocvec(&(age, &update)).expect("encoded");
    let earlier = SyncAnswer { age, era: 0, update, evacuations: None, cold_rates: None };
    assert_eq!(SyncAnswer::decode(&bytes).expect("decoded"), earlier);
    assert!(SyncAnswer::decode(&bytes[..1]).is_err());
}

/// Guards against rates of cold targets that make an answer unreadable for builds before them, or are lost between
/// builds that know them.
#[test]
fn rates_of_cold_targets_stand_behind_the_answer() {
    let update = CatalogUpdate::Full(Snapshot { revision: 5, ..Snapshot::default() });
    let age = Some(Duration::from_millis(20));
    let rate = RequestRate::from_per_second(3.5).expect("a rate");
    let rates = ColdRates { settings: 7, rates: vec![(Arc::from("till"), rate)] };
    for cold_rates in [None, Some(ColdRates::default()), Some(rates)] {
        let update = update.clone();
        let answer =
            SyncAnswer { age, era: 2, update: update.clone(), evacuations: None, cold_rates };
        let bytes = answer.encode().expect("encoded");
        assert_eq!(SyncAnswer::decode(&bytes).expect("decoded"), answer);
        let earlier: (Option<Duration>, CatalogUpdate, u64) =
            postcard::from_bytes(&bytes).expect("an earlier build reads it");
        assert_eq!(earlier, (age, update, 2));
        // A block that a later build adds is ignored.
        let later = [bytes.as_slice(), &[1, 2, 3]].concat();
        assert_eq!(SyncAnswer::decode(&later).expect("decoded"), answer);
    }
    let bytes = postcard::to_allocvec(&(&age, &update, 2_u64)).expect("encoded");
    let earlier = SyncAnswer::decode(&bytes).expect("decoded");
    let expected = SyncAnswer { age, era: 2, update, evacuations: None, cold_rates: None };
    assert_eq!(earlier, expected);
}
