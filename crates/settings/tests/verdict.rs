//! Tests of the settings check: it is deterministic, reports all problems and never panics.
#![allow(clippy::unwrap_used)]

use azuretally_settings::{LocalSettings, PublishedSettings};

const VALID: &str = include_str!("../../azuretally/tests/fixtures/good.toml");
/// Number of random bytes that one case may use, passed in the lower 32 bits of its seed.
const CASE_BYTES: u64 = 64;
const LOCAL: &str = r#"
host = "entry-1"
failure_domain = "a"
platform = ["127.0.0.1:7000"]
peer_key_file = "key"
[listen]
calls = "127.0.0.1:7001"
directions = "127.0.0.1:7002"
admin = "127.0.0.1:7003"
peers = "127.0.0.1:7004"
"#;

fn local_error(text: &str) -> String {
    LocalSettings::parse("local.toml", text).unwrap_err().to_string()
}

#[test]
fn check_of_damaged_documents_is_deterministic_and_never_panics() {
    for seed in 1..=400u64 {
        arbtest::arbtest(check_damaged_document).seed(seed << 32 | CASE_BYTES);
    }
}

fn check_damaged_document(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let mut text = VALID.as_bytes().to_vec();
    for _ in 0..u.int_in_range(1..=4)? {
        let offset = u.choose_index(text.len())?;
        match u.int_in_range(0..=2)? {
            0 => text[offset] = u.int_in_range(32..=126)?,
            1 => drop(text.drain(offset..(offset + u.int_in_range(1..=20)?).min(text.len()))),
            _ => text.insert(offset, u.int_in_range(32..=126)?),
        }
    }
    let text = String::from_utf8_lossy(&text);
    let first = PublishedSettings::parse("p", &text).map(drop);
    assert_eq!(first, PublishedSettings::parse("p", &text).map(drop));
    if let Err(error) = first {
        assert!(!error.problems.is_empty());
    }
    Ok(())
}

#[test]
fn document_above_the_size_limit_is_refused() {
    let text = format!("{VALID}\n#{}", "x".repeat(1_000_000));
    let error = PublishedSettings::parse("p", &text).unwrap_err();
    assert!(error.to_string().contains("at most 1000000 are allowed"), "{error}");
}

#[test]
fn invalid_local_settings_are_refused() {
    LocalSettings::parse("local.toml", LOCAL).unwrap();
    let outside = LOCAL.replace("127.0.0.1:7003", "10.0.0.1:7003");
    assert_eq!(
        local_error(&outside),
        "local.toml:9: listen.admin: without admin_token_file only a loopback address is allowed"
    );
    let duplicate = LOCAL.replace("7004", "7001");
    assert_eq!(local_error(&duplicate), "local.toml:10: listen.peers: 127.0.0.1:7001 stands twice");
    let name = LOCAL.replace("entry-1", "entry 1");
    assert!(local_error(&name).starts_with("local.toml:2: host: the name `entry 1` is not"));
    let level = format!("log_level = \"loud\"\n{LOCAL}");
    assert!(local_error(&level).starts_with("local.toml:1: log_level: `loud` is none of"));
    let missing = LOCAL.replace("host = ", "hots = ");
    assert!(local_error(&missing).contains("local.toml:2: hots: unknown key"));
}
