//! Tests of tokens and of the table of idempotency keys.

#![allow(clippy::unwrap_used)]

use arbtest::{arbitrary::Unstructured, arbtest};
use azuretally_policy::{
    Timestamp,
    idempotency::{
        BeginResult, FenceResult, IdempotencyKey, KeyError, KeyTable, TOKEN_LIFETIME, Token,
    },
};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Number of random cases of each property.
const CASES: u64 = 500;

/// Length of the random input of each case, in bytes.
const INPUT_BYTES: u64 = 4_096;

/// Checks a property on inputs from fixed seeds, so that each run gives the same result.
fn check<F>(property: F)
where
    F: Fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>,
{
    for case in 1..=CASES {
        arbtest(&property).seed(case << 32 | INPUT_BYTES);
    }
}

const PEER_KEY: &[u8] = b"0123456789abcdef";

fn token(issued: Timestamp) -> Token {
    Token { host: Arc::from("entry-1"), incarnation: Arc::from("ab12"), issued }
}

fn key(issued: Timestamp, id: u32) -> IdempotencyKey {
    let text = format!("{}/{id}", token(issued).sign(PEER_KEY));
    IdempotencyKey::parse(&text, PEER_KEY).unwrap()
}

#[test]
fn signed_token_passes_verification() {
    let token = token(Timestamp::from_millis(77));
    assert_eq!(Token::verify(&token.sign(PEER_KEY), PEER_KEY), Ok(token));
}

#[test]
fn changed_token_is_rejected() {
    check(|u| {
        let text = token(Timestamp::from_millis(77)).sign(PEER_KEY);
        let mut bytes = text.clone().into_bytes();
        let at = u.choose_index(bytes.len())?;
        bytes[at] = u.int_in_range(b'!'..=b'~')?;
        let changed = String::from_utf8(bytes).unwrap();
        let same = changed.eq_ignore_ascii_case(&text);
        assert!(same || Token::verify(&changed, PEER_KEY).is_err());
        Ok(())
    });
}

#[test]
fn key_must_begin_with_token() {
    assert_eq!(IdempotencyKey::parse("sale-1", PEER_KEY), Err(KeyError::MissingToken));
    let signed = token(Timestamp::from_millis(1)).sign(PEER_KEY);
    assert_eq!(IdempotencyKey::parse(&format!("{signed}/"), PEER_KEY), Err(KeyError::MissingToken));
    assert_eq!(IdempotencyKey::parse("a.b.1.00/x", PEER_KEY), Err(KeyError::MalformedToken));
    assert_eq!(
        IdempotencyKey::parse(&format!("{signed}/x"), b"another key"),
        Err(KeyError::ForgedToken)
    );
}

#[test]
fn full_table_accepts_no_new_key_until_one_expires() {
    let mut table: KeyTable<u32> = KeyTable::new(1);
    let now = Timestamp::from_millis(1);
    assert_eq!(table.begin(now, &key(now, 1), 1), BeginResult::Run);
    assert_eq!(table.begin(now, &key(now, 2), 1), BeginResult::Full);
    assert_eq!(table.fence(now, &key(now, 2)), FenceResult::Unknown);
    let later = now + TOKEN_LIFETIME;
    assert_eq!(table.begin(later, &key(later, 2), 1), BeginResult::Run);
}

/// Complete history of a key, which never expires.
#[derive(Default)]
struct History {
    running: bool,
    ran: bool,
    fenced: bool,
}

fn step(
    u: &mut Unstructured<'_>,
    now: &mut Timestamp,
    table: &mut KeyTable<u32>,
    histories: &mut HashMap<Arc<str>, History>,
) -> arbtest::arbitrary::Result<()> {
    *now = *now + Duration::from_secs(u.int_in_range(0..=200)?);
    let issued = Timestamp::from_millis(u.int_in_range(0..=3)? * 100_000);
    if issued > *now {
        return Ok(());
    }
    let key = key(issued, u.int_in_range(0..=2)?);
    let history = histories.entry(Arc::clone(&key.text)).or_default();
    match u.int_in_range(0..=4)? {
        0 => match table.begin(*now, &key, 1) {
            BeginResult::Run => {
                assert!(!history.ran && !history.running && !history.fenced);
                history.running = true;
            }
            BeginResult::Replay(_) => assert!(history.ran),
            _ => {}
        },
        1 if table.fence(*now, &key) == FenceResult::NotRun => {
            assert!(!history.ran && !history.running);
            history.fenced = true;
        }
        2 if history.running => {
            table.mark_answered(&key.text, 7);
            (history.running, history.ran) = (false, true);
        }
        3 if history.running => {
            table.mark_unknown(&key.text);
            (history.running, history.ran) = (false, true);
        }
        4 if history.running => {
            table.mark_not_run(&key.text);
            history.running = false;
        }
        _ => {}
    }
    Ok(())
}

#[test]
fn key_runs_at_most_once_and_never_after_it_is_fenced() {
    check(|u| {
        let mut table = KeyTable::new(6);
        let mut now = Timestamp::default();
        let mut histories = HashMap::new();
        for _ in 0..60 {
            step(u, &mut now, &mut table, &mut histories)?;
        }
        Ok(())
    });
}
