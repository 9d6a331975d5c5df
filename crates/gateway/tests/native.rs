//! Translation of answers of the project's own protocol.
#![allow(clippy::expect_used)]

// Other test binaries use the rest of the modules.
#[allow(dead_code)]
mod raw;
#[allow(dead_code)]
mod stub;

use azuretally_api::headers;
use azuretally_gateway::{
    adapter::{CallAdapter, PlatformAdapter, PlatformUpdate, ReadError},
    native::{NativeAdapter, PublishedChanges},
};
use azuretally_policy::balance::Change;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde_json::{Value, json};

fn read(body: &Value) -> Result<PlatformUpdate, ReadError> {
    NativeAdapter.parse_changes(StatusCode::OK, body.to_string().as_bytes())
}

fn changes() -> Value {
    let changes = vec![Change::Published(raw::published()), Change::Target(stub::target(1, 2))];
    serde_json::to_value(PublishedChanges { revision: 7, changes }).expect("serialized")
}

#[test]
fn readable_changes_are_passed_on() {
    let update = read(&changes()).expect("readable");
    let expected = vec![Change::Published(raw::published()), Change::Target(stub::target(1, 2))];
    assert_eq!((update.revision, update.unreadable, update.changes), (7, 0, expected));
}

/// Guards against an answer that is ignored as a whole, each time it is asked for, for one record of an
/// unknown form.
#[test]
fn unreadable_record_holds_back_no_other() {
    let mut body = changes();
    body["changes"][1]["target"]["slots"] = json!("two");
    body["changes"].as_array_mut().expect("a list").push(json!("?"));
    let update = read(&body).expect("readable");
    let expected = vec![Change::Published(raw::published()), Change::Gone("target-1".into())];
    assert_eq!((update.unreadable, update.changes), (2, expected));
}

/// Guards against settings that are ignored as a whole for a part of an unknown form.
#[test]
fn unreadable_part_of_the_settings_holds_back_no_other() {
    let mut body = changes();
    let settings = &mut body["changes"][0]["published"];
    settings["routes"][0]["shares"] = json!("service");
    settings["services"]["odd"] = json!({"connections": -1});
    settings["limits"]["head_bytes"] = json!("many");
    let update = read(&body).expect("readable");
    assert_eq!(update.unreadable, 3);
    let [Change::Published(published), Change::Target(_)] = update.changes.as_slice() else {
        panic!("{update:?}")
    };
    let [check, sale] = published.routes.as_slice() else { panic!("{published:?}") };
    assert_eq!((&*check.name, &*check.host, &*check.prefix), ("check", "test", "/check/"));
    assert!(check.shares.is_empty());
    assert_eq!(sale, &raw::published().routes[1]);
    assert_eq!(published.services, raw::published().services);
    assert_eq!((published.limits.head_bytes, published.limits.body_bytes), (0, 1_000_000));
}

#[test]
fn settings_without_a_version_are_counted_alone() {
    let mut body = changes();
    body["changes"][0]["published"]["version"] = json!("1");
    let update = read(&body).expect("readable");
    assert_eq!((update.unreadable, update.changes.len()), (1, 1));
    body["revision"] = json!("7");
    assert!(matches!(read(&body), Err(ReadError::Decode(_))));
}

/// Another writer has left a record that no reader can take in. Readers that refuse the whole answer for it
/// no longer follow the platform.
#[test]
fn odd_record_costs_itself_alone() {
    let deep = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let good = changes()["changes"][1].to_string();
    let odd = [
        (deep.clone(), false),
        (format!(r#"{{"target":{{"name":"odd","labels":{deep}}}}}"#), false),
        (good.replace(r#""slots":2"#, r#""slots":1e999"#), false),
        (good.replace(r#""slots":2"#, r#""slots":99999999999999999999999"#), true),
        (good.replace("127.0.0.1:80", "127.0.0.1:65536"), true),
        (format!(r#"{{"published":{deep}}}"#), false),
    ];
    for (odd, is_named) in odd {
        let body = format!(r#"{{"revision":7,"changes":[{odd},{good}]}}"#);
        let start = &odd[..odd.len().min(80)];
        let update = NativeAdapter.parse_changes(StatusCode::OK, body.as_bytes()).expect(start);
        assert_eq!(update.unreadable, 1, "{start}");
        assert_eq!(update.changes.last(), Some(&Change::Target(stub::target(1, 2))), "{start}");
        assert_eq!(update.changes.len(), 1 + usize::from(is_named), "{start}");
    }
}

/// Guards against probes that all fail on used connections, so that a target without faults is left alone.
#[test]
fn answer_with_an_empty_id_names_no_call() {
    let names_call = |id| {
        let mut fields = HeaderMap::new();
        fields.insert(headers::CALL, HeaderValue::from_static(id));
        NativeAdapter.names_call(&fields)
    };
    assert!(names_call("call-1"));
    assert!(!names_call(""));
}
