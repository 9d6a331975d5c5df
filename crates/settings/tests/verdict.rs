//! The verdict on a document: whole, deterministic, never a panic.
#![allow(clippy::unwrap_used)]

use azuretally_settings::{LocalSettings, PublishedSettings};

const GOOD: &str = include_str!("../../azuretally/tests/fixtures/good.toml");
/// Lower half of a seed: bytes that one case may use.
const SIZE_BYTES: u64 = 64;
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
fn a_damaged_document_never_panics_and_the_verdict_is_deterministic() {
    for seed in 1..=400u64 {
        arbtest::arbtest(damage).seed(seed << 32 | SIZE_BYTES);
    }
}

fn damage(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut text = GOOD.as_bytes().to_vec();
    for _ in 0..u.int_in_range(1..=4)? {
        let at = u.choose_index(text.len())?;
        match u.int_in_range(0..=2)? {
            0 => text[at] = u.int_in_range(32..=126)?,
            1 => drop(text.drain(at..(at + u.int_in_range(1..=20)?).min(text.len()))),
            _ => text.insert(at, u.int_in_range(32..=126)?),
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
fn a_document_beyond_the_platforms_size_is_refused() {
    let text = format!("{GOOD}\n#{}", "x".repeat(1_000_000));
    let error = PublishedSettings::parse("p", &text).unwrap_err();
    assert!(error.to_string().contains("at most 1000000 are allowed"), "{error}");
}

#[test]
fn local_settings_are_checked() {
    LocalSettings::parse("local.toml", LOCAL).unwrap();
    let outside = LOCAL.replace("127.0.0.1:7003", "10.0.0.1:7003");
    assert_eq!(
        local_error(&outside),
        "local.toml:9: listen.admin: without admin_token_file only a loopback address is allowed"
    );
    let twice = LOCAL.replace("7004", "7001");
    assert_eq!(local_error(&twice), "local.toml:10: listen.peers: 127.0.0.1:7001 stands twice");
    let name = LOCAL.replace("entry-1", "entry 1");
    assert!(local_error(&name).starts_with("local.toml:2: host: the name `entry 1` is not"));
    let level = format!("log_level = \"loud\"\n{LOCAL}");
    assert!(local_error(&level).starts_with("local.toml:1: log_level: `loud` is none of"));
    let missing = LOCAL.replace("host = ", "hots = ");
    assert!(local_error(&missing).contains("local.toml:2: hots: unknown key"));
}
